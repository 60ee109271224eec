#pragma once

/** \file
 * In-memory files that track how much was synced, for tests of durable storage.
 */

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
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
    /** The same with a random part of the bytes of each file. Each name that was created, renamed or removed without a
     * sync of the folder is kept or lost independently; syncing a new file makes its name durable. */
    void losePowerAtRandom(const std::function<std::uint64_t()>& random);

    std::map<std::string, file> files;
    absl::Status appendStatus = absl::OkStatus();
    absl::Status syncStatus = absl::OkStatus();
    /** Appends store other bytes than they were given. */
    bool garbles = false;
    int syncs = 0;
    /** Called before each operation that changes the disk; may be empty. */
    std::function<void()> onChange;

private:
    void change()
    {
        if (onChange)
            onChange();
    }

    /** What each name held when its folder was last synced, or the file itself if it was new; none if it was absent. */
    std::map<std::string, std::optional<file>> m_unsyncedNames;
    std::map<int, std::string> m_open;
    int m_lastOpen = 0;
};

} // namespace plantainlatch
