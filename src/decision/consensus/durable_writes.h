#pragma once

/** \file
 * Which of a replica's writes are on disk.
 */

#include <cstdint>
#include <functional>
#include <map>

#include "core/ids.h"

namespace plantainlatch {

/** Follows writes that become durable in order, and holds back what must wait for them. */
class durable_writes {
public:
    /** Notes a write that makes the log durable up to `lastIndex`; returns its number. */
    std::uint64_t begin(log_index lastIndex);
    /** The write is durable; runs what waited for it and all before it. */
    void complete(std::uint64_t number);
    /** The entry at `index` and all after it were replaced: neither past nor pending writes reach it any more. */
    void truncateFrom(log_index index);
    /** Runs `action` once all writes so far are durable, perhaps at once. */
    void whenDurable(std::function<void()> action);
    /** Forgets pending writes and what waits for them; nothing becomes durable any more. */
    void abandon();

    /** The log is durable up to here. */
    log_index durableIndex() const { return m_durableIndex; }
    void setDurableIndex(log_index index) { m_durableIndex = index; }
    bool idle() const { return m_pending.empty(); }

private:
    struct pending_write {
        log_index lastIndex;
        bool completed = false;
    };

    void settle();

    std::uint64_t m_lastNumber = 0;
    std::map<std::uint64_t, pending_write> m_pending;
    /** By the number of the last write that each waits for. */
    std::multimap<std::uint64_t, std::function<void()>> m_waiting;
    log_index m_durableIndex;
};

} // namespace plantainlatch
