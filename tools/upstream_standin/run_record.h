#pragma once

/** \file
 * The record of the requests that ran, for counting those that ran twice.
 */

#include <memory>
#include <string>

#include "absl/status/statusor.h"

namespace plantainlatch {

/** Appends a line to a file for each request, before the request does anything; every process may share the file. */
class run_record {
public:
    /** An empty path records nothing. */
    static absl::StatusOr<std::unique_ptr<run_record>> create(const std::string& path);
    ~run_record();
    run_record(const run_record&) = delete;
    run_record& operator=(const run_record&) = delete;

    /** One line: upstream, method, request and key, each `-` where there is none. */
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
