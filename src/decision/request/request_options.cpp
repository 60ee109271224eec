#include "decision/request/request_options.h"

#include <algorithm>

#include "absl/strings/match.h"

namespace plantainlatch {

namespace {

    constexpr int statusUnavailable = 503;
    /** Without latency samples, the expected latency of a call is the request's total time divided by this, up to the
     * maximum below. */
    constexpr int unknownLatencyDivisor = 4;
    constexpr duration maximumUnknownLatency = std::chrono::milliseconds(250);
    /** The maximum remaining time that can be required to start a call. Without this limit, a few timeouts would raise
     * the expected latency until requests that could still be answered are refused. */
    constexpr duration maximumRequiredTime = std::chrono::milliseconds(750);
    /** Without samples, a request is expected to take at most its target latency times this. */
    constexpr int unknownDurationFactor = 4;
    /** A request that may outlast the stop of its VM is started only if at least this time is left. Callers that send
     * later have had the time to learn of other entries, so it is refused, which is better than a cut-off. */
    constexpr duration minimumTimeBeforeStop = std::chrono::milliseconds(2700);
    constexpr const char* notRunHeader = "X-Plantainlatch-Not-Run";

    bool hasNotRunHeader(const upstream_answer& answer)
    {
        return std::any_of(answer.headers.begin(), answer.headers.end(), [](const header_field& field) {
            return absl::EqualsIgnoreCase(field.name, notRunHeader) && field.value == "1";
        });
    }

} // namespace

request_policies defaultRequestPolicies()
{
    request_policies policies;
    policies.claimsKey = [](const request_traits& traits) { return traits.needsClaim; };
    policies.unresolvedOutcome
        = [](const request_traits& traits) { return traits.needsClaim ? outcome::Unknown : outcome::NotRun; };
    policies.shouldStartCall = [](const dispatch_timing& timing) {
        const duration defaultLatency = std::min(timing.total / unknownLatencyDivisor, maximumUnknownLatency);
        const duration expectedLatency = timing.p95Latency.value_or(defaultLatency);
        return timing.remaining >= std::min({ expectedLatency, timing.total * 3 / 4, maximumRequiredTime });
    };
    policies.shouldStartBeforeStop = [](const stop_timing& timing) {
        if (timing.remaining < minimumTimeBeforeStop)
            return false;
        if (timing.longestRecent)
            return timing.remaining > *timing.longestRecent;
        return timing.targetLatency > duration::zero()
            && timing.remaining > timing.targetLatency * unknownDurationFactor;
    };
    policies.countsAgainstUpstream = [](const dispatch_timing& timing) {
        return timing.remaining >= timing.p95Latency.value_or(timing.total / 2);
    };
    policies.recordsTimeoutLatencies = [] { return true; };
    policies.mayRetry = [](const failed_attempt& attempt) {
        // The caller learns at once that the request has run to its end, and decides whether it runs again.
        if (attempt.hasUnusableAnswer)
            return false;
        return attempt.remaining > duration::zero() && (attempt.traits.idempotent || definitelyNotRun(attempt.state));
    };
    policies.isMarkedRefusal = [](const upstream_answer& answer) {
        return answer.metadata.notRun || (answer.status == statusUnavailable && hasNotRunHeader(answer));
    };
    // Callers read the outcome from its own header field.
    policies.statesNotRun = [](int) { return false; };
    policies.needsFreshConnection = [](const request_traits& traits) { return !traits.idempotent; };
    policies.mayBeCrash = [](call_failure failure) { return failure == call_failure::Lost; };
    policies.limitsRetries = [] { return true; };
    policies.isExemptFromBudget = [](const failed_attempt&) { return false; };
    policies.hedges = [](const request_traits& traits) { return traits.idempotent; };
    policies.allowsHedge = [](bool hasSpareSlots) { return hasSpareSlots; };
    policies.continuesWithoutCaller = [](const request_traits& traits) { return traits.needsClaim; };
    policies.keepsSlotBusy = [](attempt_termination ending) { return ending != attempt_termination::Finished; };
    policies.releasesLateClaims = [] { return true; };
    policies.refusesWhileStopping = [] { return true; };
    return policies;
}

} // namespace plantainlatch
