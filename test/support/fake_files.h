#pragma once

/** \file
 * In-memory files that track how much was synced, for tests of durable storage.
 */

#include <map>
#include <string>

#include "runtime/file_hooks.h"

namespace plantainlatch {

/** A file system on which power loss can be simulated, and appends and syncs can be made to fail. */
class fake_files {
public:
    struct file {
        std::string bytes;
        std::size_t synced = 0;
    };

    file_hooks hooks();

    /** Discards the bytes that were not synced, except for the first `tornBytes` of them in each file. */
    void losePower(std::size_t tornBytes);

    std::map<std::string, file> files;
    absl::Status appendStatus = absl::OkStatus();
    absl::Status syncStatus = absl::OkStatus();
    /** Appends store other bytes than they were given. */
    bool garbles = false;
    int syncs = 0;

private:
    std::map<int, std::string> m_open;
    int m_lastOpen = 0;
};

} // namespace plantainlatch
