#pragma once

/** \file
 * Limits the number of upstreams that a request which crashes its server ("query of death") can take down, even if
 * callers resend it through several entries.
 *
 * Requests with the same service and fingerprint count as equal. A request is known good, and runs without restriction,
 * if an equal one completed at this entry recently. Equal requests that are not known good run one at a time at each
 * entry; the others wait in a queue. When a connection is lost, the entry reports a crash to the replicated log before
 * it retries or answers the request. After the first reported crash, an entry needs a permit to run an equal request;
 * the replicated log grants it to one entry at a time. After crashes of `crash_guard_options::limit` upstreams, where
 * one that crashes again after its restart counts again, all entries refuse equal requests for `crashRetention`.
 *
 * Bound with the default options: if E entries dispatched the request before they applied its first crash report, at
 * most E + 2 upstreams crash: E by the first attempts, one by the retry of the entry that reported first, and one by
 * the permit. For a caller that resends only after it got an answer, E = 1, even if it resends to several entries at
 * once; so at most 3 upstreams crash. Each entry at which the request is known good can add one crash, and so can each
 * hedge of a first attempt.
 */

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "decision/control/crash_table.h"
#include "decision/request/key_claims.h"
#include "decision/request/known_good_requests.h"
#include "kernel/hooks.h"
#include "model/control_snapshot.h"
#include "ports/consensus_port.h"
#include "ports/control_port.h"

namespace plantainlatch {

/** Identifies a request at the guard; 0 means none. */
using crash_guard_ticket = strong_number<struct crash_guard_ticket_tag>;

enum class crash_verdict {
    Allow,
    /** Equal requests crashed too many upstreams, too many of them are waiting, or the permit was not granted. */
    Refuse,
};

/** Settings that determine when equal requests are queued or refused. */
struct crash_guard_options {
    /** Equal requests are refused after crashes of this many upstreams. */
    std::size_t limit = crashedUpstreamThreshold;
    /** Each entry runs equal requests one at a time unless they are known good. If false, permits are not used. */
    bool serializeEqualRequests = true;
};

/** Dependencies and settings of a crash_guard. */
struct crash_guard_parts {
    const kernel_hooks& hooks;
    consensus_port& consensus;
    control_port& control;
    key_claims& claims;
    duration reportTimeout {};
    crash_guard_options options;
};

/** Decides whether a request may run, based on how equal requests ended. */
class crash_guard {
public:
    /** The maximum number of equal requests in a queue; further ones are refused. */
    static constexpr std::size_t maximumWaiting = 256;
    /** The maximum number of fingerprints for which this entry remembers crashes that it observed itself; the one whose
     * last crash is oldest is dropped first. */
    static constexpr std::size_t maximumLocalCrashes = 256;

    static std::unique_ptr<crash_guard> create(const crash_guard_parts& parts);
    ~crash_guard();
    crash_guard(const crash_guard&) = delete;
    crash_guard& operator=(const crash_guard&) = delete;

    /** Returns a ticket that was not used before. */
    crash_guard_ticket newTicket() { return crash_guard_ticket(++m_lastTicket); }

    /** Asks for permission to run a request until `runUntil`. `decided` is called once, possibly before enter()
     * returns. The caller must end the ticket with leave(), which it may do before the decision. */
    void enter(crash_guard_ticket ticket, const crash_key& key, time_point runUntil,
        std::function<void(crash_verdict)> decided);

    /** Reports a crash of `upstream` to the replicated log. `reported` is called when the report was applied or timed
     * out, possibly before report() returns. `counted` is false if nothing was reported because the request is known
     * good and lost a connection for the first time since it completed. */
    void report(const crash_key& key, const crashed_upstream& upstream, std::function<void(bool counted)> reported);

    /** Whether requests with this fingerprint are refused now. */
    bool refuses(const crash_key& key) const;

    /** Ends a ticket. If its request completed, the fingerprint becomes known good. An unknown ticket is ignored. */
    void leave(crash_guard_ticket ticket, bool completed);

    /** The number of tickets that leave() has not ended yet. */
    std::size_t openTickets() const { return m_tickets.size(); }

private:
    struct waiter {
        crash_guard_ticket ticket;
        time_point runUntil;
        std::function<void(crash_verdict)> decided;
    };
    /** Equal requests that are not known good: the running one and those that wait for it. */
    struct fingerprint_queue {
        crash_guard_ticket running;
        std::optional<held_key> permit;
        std::deque<waiter> waiting;
    };
    struct local_crash {
        std::set<crashed_upstream> upstreams;
        time_point lastSeen;
        /** The replicated log answered a report by refusing equal requests; this VM's copy of the state may not show
         * that yet. */
        bool refused = false;
    };

    explicit crash_guard(const crash_guard_parts& parts);

    const local_crash* recentLocalCrash(const crash_key& key) const;
    std::size_t crashes(const crash_key& key) const;
    void admit(const crash_key& key, waiter next);
    void requestPermit(const crash_key& key, waiter next);
    void onPermit(const crash_key& key, const waiter& next, const claim_answer& answer);
    void leaveQueue(const crash_key& key, crash_guard_ticket ticket, bool completed);
    void admitNext(const crash_key& key);
    void admitAll(const crash_key& key);
    void onReported(const crash_key& key, const absl::StatusOr<command_result>& result);
    void recordLocalCrash(const crash_key& key, const crashed_upstream& upstream);

    crash_guard_parts m_parts;
    std::uint64_t m_lastTicket = 0;
    std::map<crash_guard_ticket, crash_key> m_tickets;
    std::map<crash_key, fingerprint_queue> m_queues;
    std::map<crash_key, local_crash> m_localCrashes;
    known_good_requests m_knownGood;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace plantainlatch
