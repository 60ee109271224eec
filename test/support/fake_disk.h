#pragma once

/** \file
 * A simulated disk that persists across simulated process restarts. Writes are durable once they are synced; writes can
 * fail, and the content can be wiped or reported as damaged.
 */

#include <deque>
#include <functional>

#include "ports/storage_port.h"
#include "support/process_hooks.h"

namespace plantainlatch {

/** The disk of one VM. */
class fake_disk {
public:
    explicit fake_disk(paused_runtime& runtime)
        : m_runtime(runtime)
    {
    }

    /** The time from the first queued write to the end of the sync that makes it durable. */
    duration syncTime = std::chrono::milliseconds(2);
    /** All writes fail, as on a full disk, and leave the content unchanged. */
    bool failing = false;
    /** A crash may keep some of the writes that were not synced, as on real disks. */
    bool keepsSomeUnsynced = true;
    /** The error that load() returns; OK if it returns the content. */
    absl::Status damage;

    /** The storage port for a new process. */
    storage_port attach(const process_lifetime& life);

    /** Simulates the end of the process. A random prefix of the writes that were not synced is kept if
     * keepsSomeUnsynced is set. */
    void crash();
    /** Replaces the disk by a blank one. */
    void wipe();

    const recovered_state& content() const { return m_content; }

private:
    struct pending_operation {
        std::function<void(recovered_state&)> apply;
        std::function<void(absl::Status)> done;
        std::weak_ptr<bool> life;
    };

    void add(pending_operation operation);
    void syncAll();

    paused_runtime& m_runtime;
    recovered_state m_content;
    std::deque<pending_operation> m_pending;
    bool m_isSyncing = false;
    std::uint64_t m_generation = 0;
};

} // namespace plantainlatch
