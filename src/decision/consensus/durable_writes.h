#pragma once

/** \file
 * Tracks which of a replica's writes are durable.
 */

#include <cstdint>
#include <functional>
#include <map>

#include "core/ids.h"

namespace plantainlatch {

/** Tracks writes that become durable in order, and defers actions until the writes before them are durable. */
class durable_writes {
public:
    /** Registers a write that makes the log durable up to `lastIndex`; returns its number. */
    std::uint64_t begin(log_index lastIndex);
    /** Marks a write as completed. Actions that wait for it run once all earlier writes are completed too. */
    void complete(std::uint64_t number);
    /** Handles the removal of the entries from `index` on: limits the durable index, and the last index of each pending
     * write, to `index` - 1. */
    void truncateFrom(log_index index);
    /** Runs `action` once all writes registered so far are durable; immediately if none is pending. */
    void whenDurable(std::function<void()> action);
    /** Drops all pending writes and deferred actions. */
    void abandon();

    /** The last index up to which the log is durable. */
    log_index durableIndex() const { return m_durableIndex; }
    void setDurableIndex(log_index index) { m_durableIndex = index; }
    bool idle() const { return m_pending.empty(); }

private:
    struct pending_write {
        log_index lastIndex;
        bool completed = false;
    };

    void processCompleted();

    std::uint64_t m_lastNumber = 0;
    std::map<std::uint64_t, pending_write> m_pending;
    /** Deferred actions; the key is the number of the last write that an action waits for. */
    std::multimap<std::uint64_t, std::function<void()>> m_waiting;
    log_index m_durableIndex;
};

} // namespace plantainlatch
