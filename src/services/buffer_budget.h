#pragma once

/** \file
 * Bounds the bytes that a VM holds for callers: requests that are read or handled, and answers that wait for slow
 * readers.
 */

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>

#include "core/units.h"
#include "kernel/hooks.h"
#include "kernel/service.h"
#include "services/line_limiter.h"

namespace plantainlatch {

/** The maximum number of bytes held. Small holdings have room of their own, so that large ones can't use it up; while
 * that is full, they also use the room of the large ones. */
struct buffer_budget_limits {
    byte_count large;
    byte_count small;
};

/** The limits for a process that may use so much memory; the default of 1 GiB applies if that is not known. */
buffer_budget_limits bufferLimitsFor(std::optional<byte_count> memoryLimit);

/** Counts the bytes of all leases of a VM. When a limit is reached, holdings without progress are reclaimed, longest
 * first: a large one for a large one once it has made no progress for a second, a small one for a small one at once. */
class buffer_budget {
public:
    /** The largest holding that counts as small: a body of 64 KiB with its header fields. */
    static constexpr std::size_t maximumSmall = std::size_t { 80 } * 1024;

    buffer_budget(kernel_hooks hooks, buffer_budget_limits limits);
    ~buffer_budget();
    buffer_budget(const buffer_budget&) = delete;
    buffer_budget& operator=(const buffer_budget&) = delete;

    /** A kernel service that only reports its state; the budget must outlive the kernel. */
    service asService();

    std::size_t held() const { return m_large.held + m_small.held; }
    std::uint64_t refused() const { return m_refused; }
    std::uint64_t reclaimed() const { return m_reclaimed; }

private:
    friend class buffer_lease;

    struct pool;
    struct holding {
        std::function<void()>* reclaim = nullptr;
        pool* from = nullptr;
        std::size_t bytes = 0;
        bool reclaimable = false;
        time_point lastProgress {};
    };
    using holding_list = std::list<holding>;

    struct pool {
        std::size_t limit = 0;
        /** How long a holding must have made no progress before it is reclaimed. */
        duration stallTime {};
        std::size_t held = 0;
        /** The holdings that may be reclaimed; the first has made no progress for longest. */
        holding_list reclaimable = {};
    };

    /** Changes the size of a holding; returns whether there was room. */
    bool resize(holding_list::iterator item, std::size_t bytes);
    bool hasRoom(const pool& from, std::size_t bytes) const { return from.held + bytes <= from.limit; }
    /** Reclaims stalled holdings other than `besides` until there is room; none if that would not suffice. */
    bool makeRoom(pool& from, std::size_t bytes, holding_list::const_iterator besides);
    void place(holding_list::iterator item, pool& to, std::size_t bytes);
    void setReclaimable(holding_list::iterator item, bool reclaimable);
    void recordProgress(holding_list::iterator item);
    void logLimit(const char* what, std::size_t bytes);
    state_dump dump() const;

    kernel_hooks m_hooks;
    pool m_large;
    pool m_small;
    holding_list m_fixed;
    std::size_t m_peak = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_reclaimed = 0;
    line_limiter m_lines;
};

/** A number of bytes that count as held until the lease ends. The budget must outlive it. */
class buffer_lease {
public:
    /** `reclaim` is called when others need the bytes; it must release the lease. It may destroy the lease. */
    buffer_lease(buffer_budget& budget, std::function<void()> reclaim);
    ~buffer_lease() { release(); }
    buffer_lease(const buffer_lease&) = delete;
    buffer_lease& operator=(const buffer_lease&) = delete;

    std::size_t bytes() const { return m_bytes; }
    /** Changes the number of bytes; false if there is no room, and then it keeps the former number. May reclaim other
     * holdings. A holding can be reclaimed from then on if `reclaimable` is set. */
    bool resize(std::size_t bytes, bool reclaimable);
    /** The holder got or passed on a part of the bytes. */
    void recordProgress();
    /** From now on the bytes can't be reclaimed. */
    void keep();
    void release();

private:
    buffer_budget& m_budget;
    std::function<void()> m_reclaim;
    std::size_t m_bytes = 0;
    /** Valid while the lease has bytes. */
    buffer_budget::holding_list::iterator m_item;
};

} // namespace plantainlatch
