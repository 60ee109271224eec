#pragma once

/** \file
 * A disk that outlives simulated processes: writes last once they are synced, and it can fail or be lost.
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

    duration syncTime = std::chrono::milliseconds(2);
    /** All further writes fail, as on a full disk; nothing of them is kept. */
    bool failing = false;
    /** A crash may leave some of what was not synced, as real disks do. */
    bool keepsSomeUnsynced = true;
    /** What load() reports instead of the content. */
    absl::Status damage;

    /** The port for a new process. */
    storage_port attach(const process_lifetime& life);

    /** The process was killed: a prefix of what was not synced may be there all the same. */
    void crash();
    /** The disk is replaced by a blank one. */
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
