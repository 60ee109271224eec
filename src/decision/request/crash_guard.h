#pragma once

/** \file
 * Limits the number of upstreams that a request which crashes its server ("query of death") can take down, even if
 * callers resend it through several entries.
 *
 * Requests with the same service and content count as equal; besides, those of one caller are counted on their own, as
 * a request may crash upstreams for one caller only. A request is known good, and runs without restriction, if an equal
 * one completed at this entry recently. Equal requests that are not known good run one at a time at each entry; the
 * others wait in a queue. When a connection is lost, the entry reports a crash to the replicated log before it retries
 * or answers the request. After the first reported crash, an entry needs a permit to run an equal request; the
 * replicated log grants it to one entry at a time. After crashes of `crash_guard_options::limit` upstreams, where one
 * that crashes again after its restart counts again, all entries refuse equal requests for `crashRetention`.
 *
 * A connection may be lost for another reason than the request, so the record of the crashes is withdrawn when an equal
 * request completes at any entry (crash_withdrawals), and refused requests are tried again, one at a time
 * (crash_trials).
 *
 * Bound with the default options: if E entries dispatched the request before they applied its first crash report, at
 * most E + 2 upstreams crash: E by the first attempts, one by the retry of the entry that reported first, and one by
 * the permit. For a caller that resends only after it got an answer, E = 1, even if it resends to several entries at
 * once; so at most 3 upstreams crash. Each entry at which the request is known good can add one crash, and so can each
 * hedge of a first attempt, and each of the `maximumJudgedTrials` trials.
 */

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "decision/control/crash_table.h"
#include "decision/request/crash_trials.h"
#include "decision/request/crash_withdrawals.h"
#include "decision/request/key_claims.h"
#include "decision/request/known_good_requests.h"
#include "decision/request/local_crashes.h"
#include "kernel/hooks.h"
#include "model/control_snapshot.h"
#include "ports/consensus_port.h"
#include "ports/control_port.h"

namespace plantainlatch {

/** Identifies a request at the guard; 0 means none. */
using crash_guard_ticket = strong_number<struct crash_guard_ticket_tag>;

/** The fingerprints by which a request is guarded. */
struct guarded_request {
    /** Equal requests of all callers. */
    crash_key content;
    /** Equal requests of one caller. */
    crash_key caller;
};

/** What the end of a request shows about equal ones. */
enum class guarded_end {
    /** An upstream answered it. */
    Completed,
    /** It may have crashed its upstream: the connection was lost, or its caller left before the end. */
    Suspect,
    /** It reached no upstream, or none that answered in time. */
    Unjudged,
};

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

    static std::unique_ptr<crash_guard> create(const crash_guard_parts& parts);
    ~crash_guard();
    crash_guard(const crash_guard&) = delete;
    crash_guard& operator=(const crash_guard&) = delete;

    /** Returns a ticket that was not used before. */
    crash_guard_ticket newTicket() { return crash_guard_ticket(++m_lastTicket); }

    /** Asks for permission to run a request until `runUntil`. `decided` is called once, possibly before enter()
     * returns. The caller must end the ticket with leave(), which it may do before the decision. */
    void enter(crash_guard_ticket ticket, const guarded_request& request, time_point runUntil,
        std::function<void(crash_verdict)> decided);

    /** Reports a crash of `upstream` to the replicated log. `reported` is called when the report was applied or timed
     * out, possibly before report() returns. `counted` is false if nothing was reported, or need not be waited for,
     * because equal requests are known good and lost a connection for the first time since one completed. */
    void report(
        const guarded_request& request, const crashed_upstream& upstream, std::function<void(bool counted)> reported);

    /** Whether equal requests are refused now, but for trials. */
    bool refuses(const guarded_request& request) const;

    /** How long until a refused request may be sent again: until the next trial, or until the refusal ends. */
    duration retryAfter(const guarded_request& request);

    /** Ends a ticket. If its request completed, equal ones become known good. An unknown ticket is ignored. */
    void leave(crash_guard_ticket ticket, guarded_end end);

    /** The number of tickets that leave() has not ended yet. */
    std::size_t openTickets() const { return m_tickets.size(); }

private:
    struct waiter {
        crash_guard_ticket ticket;
        guarded_request request;
        time_point runUntil;
        std::function<void(crash_verdict)> decided;
    };
    /** Equal requests that are not known good: the running one and those that wait for it. */
    struct fingerprint_queue {
        crash_guard_ticket running;
        std::optional<held_key> permit;
        std::deque<waiter> waiting;
    };
    struct open_ticket {
        guarded_request request;
        /** The refused fingerprint of which the request is a trial. */
        std::optional<crash_key> trial;
    };

    explicit crash_guard(const crash_guard_parts& parts);

    const crash_record* replicatedRecord(const crash_key& key) const;
    std::size_t crashes(const crash_key& key) const;
    bool refuses(const crash_key& key) const;
    /** The fingerprint of which a refused request may be a trial. A trial of a caller that crashed upstreams does not
     * use up those by which other callers can show that their equal requests are sound. */
    const crash_key& trialKey(const guarded_request& request) const;

    void tryTrial(waiter next);
    void onTrial(const waiter& next, const crash_key& key, bool permitted);
    void refuse(const waiter& next);

    void enterQueue(waiter next);
    void admit(waiter next);
    void requestPermit(waiter next);
    void onPermit(const waiter& next, const claim_answer& answer);
    void leaveQueue(const crash_key& key, crash_guard_ticket ticket, bool completed);
    void admitNext(const crash_key& key);
    void admitAll(const crash_key& key);

    void recordCompletion(const open_ticket& ticket);
    void propose(const crash_key& key, const std::optional<crash_key>& other, const crashed_upstream& upstream,
        std::function<void()> done);
    /** Reports one of the crashes that the log has not accepted, unless that is in progress. */
    void reportAgain(const crash_key& key);

    crash_guard_parts m_parts;
    std::uint64_t m_lastTicket = 0;
    std::map<crash_guard_ticket, open_ticket> m_tickets;
    std::map<crash_key, fingerprint_queue> m_queues;
    local_crashes m_local;
    /** The fingerprints for which a repeated report is in progress. */
    std::set<crash_key> m_reportedAgain;
    known_good_requests m_knownGood;
    std::unique_ptr<crash_trials> m_trials;
    std::unique_ptr<crash_withdrawals> m_withdrawals;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace plantainlatch
