#pragma once

/** \file
 * The file operations that durable storage uses, as hooks, so that tests can make each of them fail.
 */

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace plantainlatch {

/** File operations. They fail with ResourceExhausted when the disk or quota is full, NotFound for a missing file,
 * PermissionDenied when access is denied, and Unavailable otherwise. */
struct file_hooks {
    /** Creates the folder if it is missing and locks it until the process ends; AlreadyExists when another process
     * holds the lock. */
    std::function<absl::Status(const std::string& folder)> claimFolder;
    /** The names of the entries in the folder. */
    std::function<absl::StatusOr<std::vector<std::string>>(const std::string& folder)> list;
    std::function<absl::StatusOr<std::string>(const std::string& path)> read;
    /** Opens a file for appending, creating it if it is missing. Returns a handle for append, sync and close. */
    std::function<absl::StatusOr<int>(const std::string& path)> open;
    std::function<absl::Status(int file, std::string_view bytes)> append;
    std::function<absl::Status(int file)> sync;
    std::function<void(int file)> close;
    std::function<absl::Status(const std::string& path, std::size_t size)> truncate;
    std::function<absl::Status(const std::string& from, const std::string& to)> rename;
    std::function<absl::Status(const std::string& path)> remove;
    std::function<absl::Status(const std::string& folder)> syncFolder;
};

/** Hooks that use the POSIX calls. */
file_hooks posixFiles();

} // namespace plantainlatch
