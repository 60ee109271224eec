#pragma once

/** \file
 * A log of executed requests, in which requests that were executed twice can be found.
 */

#include <memory>
#include <string>

#include "absl/status/statusor.h"

namespace plantainlatch {

/** Appends a line to a file for each request before it is executed. Several processes may append to the same file. */
class run_record {
public:
    /** With an empty path, nothing is recorded. PermissionDenied if the file can't be opened for writing. */
    static absl::StatusOr<std::unique_ptr<run_record>> create(const std::string& path);
    ~run_record();
    run_record(const run_record&) = delete;
    run_record& operator=(const run_record&) = delete;

    /** Appends the line `UPSTREAM METHOD REQUEST KEY`, in which an empty request or key is written as `-`. */
    void add(
        const std::string& upstream, const std::string& method, const std::string& request, const std::string& key);

private:
    explicit run_record(int file)
        : m_file(file)
    {
    }

    int m_file;
};

} // namespace plantainlatch
