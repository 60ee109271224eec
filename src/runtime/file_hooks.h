#pragma once

/** \file
 * The hooks by which durable state reaches the file system, so that tests can make each step fail.
 */

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace plantainlatch {

/** Steps on files; each fails with ResourceExhausted when the disk is full and Unavailable or NotFound otherwise. */
struct file_hooks {
    /** Makes the folder if it is missing, and locks it for this process. */
    std::function<absl::Status(const std::string& folder)> claimFolder;
    /** The names of the files in the folder. */
    std::function<absl::StatusOr<std::vector<std::string>>(const std::string& folder)> list;
    std::function<absl::StatusOr<std::string>(const std::string& path)> read;
    /** Opens a file for appending and makes it when missing; the number names it in the calls below. */
    std::function<absl::StatusOr<int>(const std::string& path)> open;
    std::function<absl::Status(int file, std::string_view bytes)> append;
    std::function<absl::Status(int file)> sync;
    std::function<void(int file)> close;
    std::function<absl::Status(const std::string& path, std::size_t size)> truncate;
    std::function<absl::Status(const std::string& from, const std::string& to)> rename;
    std::function<absl::Status(const std::string& path)> remove;
    std::function<absl::Status(const std::string& folder)> syncFolder;
};

/** The operating system's files. */
file_hooks posixFiles();

} // namespace plantainlatch
