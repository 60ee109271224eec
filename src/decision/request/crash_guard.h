#pragma once

/** \file
 * Keeps one request from crashing upstream after upstream, however often and wherever it is sent again.
 *
 * A fingerprint that completed here lately is proven and passes freely. Of unproven equal requests one at a time runs
 * at an entry; the others wait. A lost connection is reported to the log before anyone may run the request again. After
 * one reported crash a request needs a permit from the log, which one entry at a time gets, and after two crashed
 * upstreams it is refused everywhere for a while.
 *
 * The bound: with E entries that dispatched the request before they had applied its first crash report, at most E + 2
 * upstreams fall: E at first, one more by the retry of the first reporter, and one by the permit. A caller that resends
 * only after an answer, to as many entries at once as it likes, has E = 1, so 3 at most. Each entry that has proof of
 * an earlier success, and each hedge of a first attempt, adds one.
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
#include "decision/request/proven_requests.h"
#include "kernel/hooks.h"
#include "model/control_snapshot.h"
#include "ports/consensus_port.h"
#include "ports/control_port.h"

namespace plantainlatch {

/** A request that asked to pass; 0 is none. */
using crash_pass = strong_number<struct crash_pass_tag>;

/** Whether a request may run. */
enum class crash_verdict {
    Pass,
    /** Equal requests have crashed upstreams, or may be about to. */
    Refuse,
};

/** When equal requests are held back. */
struct crash_guard_options {
    /** Crashed upstreams after which equal requests are refused. */
    std::size_t limit = crashedUpstreamThreshold;
    /** Of the equal requests that no success has proven, an entry runs one at a time. */
    bool oneAtATime = true;
};

/** What the guard is made of. */
struct crash_guard_parts {
    const kernel_hooks& hooks;
    consensus_port& consensus;
    control_port& control;
    key_claims& claims;
    duration reportTimeout {};
    crash_guard_options options;
};

/** Decides which requests may run, and learns from how they ended. */
class crash_guard {
public:
    /** Equal requests that wait for one that runs, at most; more are refused. */
    static constexpr std::size_t maximumWaiting = 256;
    /** Fingerprints of which this entry itself saw a crash, at most; the oldest is forgotten first. */
    static constexpr std::size_t maximumSeenHere = 256;

    static std::unique_ptr<crash_guard> create(const crash_guard_parts& parts);
    ~crash_guard();
    crash_guard(const crash_guard&) = delete;
    crash_guard& operator=(const crash_guard&) = delete;

    /** A pass that was not used before. */
    crash_pass newPass() { return crash_pass(++m_lastPass); }

    /** Calls back once, perhaps at once; then, or before, the pass is ended by leave(). The request runs until
     * `runUntil`. */
    void enter(crash_pass pass, const crash_key& key, time_point runUntil, std::function<void(crash_verdict)> decided);

    /** Counts a crash and calls back when the log has it, or after the timeout; perhaps at once. A proven request's
     * first loss does not count. */
    void report(const crash_key& key, const upstream_id& upstream, std::function<void(bool counted)> reported);

    /** Whether a request of this fingerprint may be dispatched once more. */
    bool refuses(const crash_key& key) const;

    /** Ends a pass; a completed request proves its fingerprint. A pass that is not there is ignored. */
    void leave(crash_pass pass, bool completed);

    /** Passes that were not left yet. */
    std::size_t openPasses() const { return m_passes.size(); }

private:
    struct waiter {
        crash_pass pass;
        time_point runUntil;
        std::function<void(crash_verdict)> decided;
    };
    /** The unproven equal requests of one fingerprint. */
    struct gate {
        crash_pass running;
        std::optional<held_key> permit;
        std::deque<waiter> waiting;
    };
    struct seen_crash {
        std::set<upstream_id> upstreams;
        time_point lastSeen;
        /** The log said that equal requests are refused, which this VM's state may not show yet. */
        bool refused = false;
    };

    explicit crash_guard(const crash_guard_parts& parts);

    const seen_crash* seenHere(const crash_key& key) const;
    std::size_t crashedUpstreams(const crash_key& key) const;
    void admit(const crash_key& key, waiter next);
    void askPermit(const crash_key& key, waiter next);
    void onPermit(const crash_key& key, const waiter& next, const claim_answer& answer);
    void leaveGate(const crash_key& key, crash_pass pass, bool completed);
    void admitNext(const crash_key& key);
    void admitAll(const crash_key& key);
    void onReported(const crash_key& key, const absl::StatusOr<command_result>& result);
    void noteSeenHere(const crash_key& key, const upstream_id& upstream);

    crash_guard_parts m_parts;
    std::uint64_t m_lastPass = 0;
    std::map<crash_pass, crash_key> m_passes;
    std::map<crash_key, gate> m_gates;
    std::map<crash_key, seen_crash> m_seenHere;
    proven_requests m_proven;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace plantainlatch
