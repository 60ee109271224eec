#pragma once

/** \file
 * Files in memory with an unsynced tail, for tests of durable state.
 */

#include <map>
#include <string>

#include "runtime/file_hooks.h"

namespace plantainlatch {

/** A disk whose power can fail and whose steps can be made to fail. */
class fake_files {
public:
    struct file {
        std::string bytes;
        std::size_t synced = 0;
    };

    file_hooks hooks();

    /** Loses what was not synced, but for `tornBytes` of each tail. */
    void losePower(std::size_t tornBytes);

    std::map<std::string, file> files;
    absl::Status appendStatus = absl::OkStatus();
    absl::Status syncStatus = absl::OkStatus();
    int syncs = 0;

private:
    std::map<int, std::string> m_open;
    int m_lastOpen = 0;
};

} // namespace plantainlatch
