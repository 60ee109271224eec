#pragma once

/** \file
 * Bounds the bytes that a VM holds for others: requests that are read or handled, answers of upstreams, output that
 * waits for slow readers, and messages between VMs.
 */

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "kernel/hooks.h"
#include "kernel/service.h"
#include "services/buffer_limits.h"
#include "services/buffer_room.h"
#include "services/line_limiter.h"

namespace plantainlatch {

/** Counts the bytes of all leases of a VM. When a limit is reached, holdings without progress are reclaimed: a large
 * one for a large one once it has made no progress for a second, a small one for a small one at once. */
class buffer_budget {
public:
    /** The largest holding that counts as small: a body of 64 KiB with its header fields. */
    static constexpr std::size_t maximumSmall = std::size_t { 80 } * 1024;

    /** The budget of a process that may use so much memory. Logs a warning if that is too little for the largest
     * request that `limits` allow. */
    static std::unique_ptr<buffer_budget> createFor(
        const kernel_hooks& hooks, std::optional<byte_count> memoryLimit, const caller_limits& limits);

    buffer_budget(kernel_hooks hooks, buffer_budget_limits limits);
    ~buffer_budget();
    buffer_budget(const buffer_budget&) = delete;
    buffer_budget& operator=(const buffer_budget&) = delete;

    /** A kernel service that only reports its state; the budget must outlive the kernel. */
    service asService();

    /** The bytes of all holdings but connections. */
    std::size_t held() const;
    std::size_t held(buffer_use use) const { return countersOf(use).held; }
    std::uint64_t refused() const;
    std::uint64_t reclaimed() const;

private:
    friend class buffer_lease;

    struct use_counters {
        std::size_t held = 0;
        std::uint64_t refused = 0;
        std::uint64_t reclaimed = 0;
    };

    /** Changes the size of a holding; returns whether there was room. */
    bool resize(holding_list::iterator item, std::size_t bytes);
    /** The room for a holding that grows to so many bytes; null if there is none. May reclaim other holdings. */
    buffer_room* findRoom(const buffer_holding& item, std::size_t bytes);
    buffer_room* findPeerRoom(const buffer_holding& item, std::size_t bytes);
    buffer_room* findPipelineRoom(const buffer_holding& item, std::size_t bytes);
    /** Reclaims holdings until there is room; none if that would not suffice. */
    bool makeRoom(buffer_room& room, const buffer_holding& item, std::size_t bytes);
    void place(holding_list::iterator item, buffer_room& to, std::size_t bytes);
    void setReclaimable(holding_list::iterator item, bool reclaimable);
    void recordProgress(holding_list::iterator item, std::size_t bytes);
    void remove(holding_list::iterator item);
    use_counters& countersOf(buffer_use use) { return m_uses[static_cast<std::size_t>(use)]; }
    const use_counters& countersOf(buffer_use use) const { return m_uses[static_cast<std::size_t>(use)]; }
    void logLimit(const char* what, buffer_use use, std::size_t bytes);
    state_dump dump() const;

    kernel_hooks m_hooks;
    buffer_room m_large;
    buffer_room m_small;
    buffer_room m_answer;
    buffer_room m_peers;
    buffer_room m_connections;
    /** The holdings that are not reclaimed. */
    holding_list m_fixed;
    std::array<use_counters, bufferUseCount> m_uses;
    std::size_t m_peak = 0;
    line_limiter m_lines;
};

/** The budget that was given to a service, or one of its own without a limit on the process if none was. */
class given_or_own_budget {
public:
    /** `given` may be null; otherwise it must outlive this object. */
    given_or_own_budget(const kernel_hooks& hooks, buffer_budget* given);

    buffer_budget& operator*() const { return m_budget; }

private:
    std::unique_ptr<buffer_budget> m_own;
    buffer_budget& m_budget;
};

/** A number of bytes that count as held until the lease ends. The budget must outlive it. */
class buffer_lease {
public:
    /** So much progress at once keeps a large holding from being reclaimed. */
    static constexpr std::size_t progressStep = std::size_t { 16 } * 1024;

    /** `reclaim` is called when others need the bytes; it must release the lease. It may destroy the lease. */
    buffer_lease(buffer_budget& budget, buffer_use use, std::function<void()> reclaim, buffer_owner owner = {});
    ~buffer_lease() { release(); }
    buffer_lease(const buffer_lease&) = delete;
    buffer_lease& operator=(const buffer_lease&) = delete;

    std::size_t bytes() const { return m_bytes; }
    /** Changes the number of bytes; false if there is no room, and then it keeps the former number. May reclaim other
     * holdings. A holding can be reclaimed from then on if `reclaimable` is set. */
    bool resize(std::size_t bytes, bool reclaimable);
    /** The holder got or passed on so many of the bytes. */
    void recordProgress(std::size_t bytes = progressStep);
    /** From now on the bytes can't be reclaimed. */
    void keep();
    void release();

private:
    buffer_budget& m_budget;
    buffer_use m_use;
    std::function<void()> m_reclaim;
    buffer_owner m_owner;
    std::size_t m_bytes = 0;
    /** Valid while the lease has bytes. */
    holding_list::iterator m_item;
};

} // namespace plantainlatch
