#pragma once

/** \file
 * The durable state of a replica in files of one folder: the service behind "storage".
 *
 * `state.N` holds hard states and log entries as records of length, checksum and bytes; `snapshot.N` holds one record.
 * A snapshot is written to a new file, synced, renamed and its folder synced; then a new `state.N` begins with what the
 * snapshot does not cover, and the older files go. A record that the file's end cuts short was never acknowledged and
 * is removed; any other damage is reported with its file and offset and nothing is loaded.
 */

#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "kernel/hooks.h"
#include "kernel/service.h"
#include "ports/storage_port.h"
#include "runtime/file_hooks.h"

namespace plantainlatch {

/** Keeps a replica's state in one folder. */
class file_storage {
public:
    /** NotFound or PermissionDenied when the folder can't be made or used; AlreadyExists when another process uses it.
     */
    static absl::StatusOr<std::unique_ptr<file_storage>> create(
        const kernel_hooks& hooks, const std::string& folder, file_hooks files);
    ~file_storage();

    service asService();

    /** The same interface that asService() publishes. */
    storage_port& port();

private:
    struct implementation;
    explicit file_storage(std::unique_ptr<implementation> parts);
    std::unique_ptr<implementation> m_parts;
};

} // namespace plantainlatch
