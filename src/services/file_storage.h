#pragma once

/** \file
 * Stores the durable state of a consensus replica in one folder; implements the service "storage".
 *
 * `state.N` is an append-only log of hard states and log entries, as records of length, checksum and payload.
 * `snapshot.N` holds a single record: a snapshot, the hard state and the log entries after the snapshot, so that it
 * replaces all files of earlier generations. It is written to a temporary file, synced and renamed, and its folder is
 * synced. Then an empty `state.N` follows, and the older files are removed. An incomplete record at the end of the
 * newest state file was never acknowledged and is truncated. Any other corruption is reported with file and offset, and
 * nothing is loaded. After a failed write the state file is not written any more; a rewrite begins the next generation,
 * whose snapshot is read back before it gets its name.
 */

#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "kernel/hooks.h"
#include "kernel/service.h"
#include "ports/storage_port.h"
#include "runtime/file_hooks.h"

namespace plantainlatch {

/** The storage of one replica. */
class file_storage {
public:
    /** NotFound or PermissionDenied if the folder is unusable; AlreadyExists if another process uses it. */
    static absl::StatusOr<std::unique_ptr<file_storage>> create(
        const kernel_hooks& hooks, const std::string& folder, file_hooks files);
    ~file_storage();

    service asService();

    /** The port that asService() publishes. */
    storage_port& port();

private:
    struct implementation;
    explicit file_storage(std::unique_ptr<implementation> parts);
    std::unique_ptr<implementation> m_parts;
};

} // namespace plantainlatch
