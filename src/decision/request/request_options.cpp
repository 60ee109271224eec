#include "decision/request/request_options.h"

#include <algorithm>

#include "absl/strings/match.h"

namespace plantainlatch {

namespace {

    constexpr int statusUnavailable = 503;
    /** With no latency known, work is expected to take this part of its whole deadline, but not longer than that. */
    constexpr int unknownLatencyPart = 4;
    constexpr duration longestUnknownLatency = std::chrono::milliseconds(250);
    /** Never ask for more time than this: a few timeouts must not refuse what could still be answered. */
    constexpr duration mostTimeAskedFor = std::chrono::milliseconds(750);
    constexpr const char* notRunMark = "X-Plantainlatch-Not-Run";

    bool carriesMark(const upstream_answer& answer)
    {
        return std::any_of(answer.headers.begin(), answer.headers.end(), [](const header_field& field) {
            return absl::EqualsIgnoreCase(field.name, notRunMark) && field.value == "1";
        });
    }

} // namespace

request_policies defaultRequestPolicies()
{
    request_policies policies;
    policies.claims = [](const request_traits& traits) { return traits.claimed; };
    policies.unresolvedOutcome
        = [](const request_traits& traits) { return traits.claimed ? outcome::Unknown : outcome::NotRun; };
    policies.worthStarting = [](const dispatch_timing& chance) {
        const duration unknown = std::min(chance.whole / unknownLatencyPart, longestUnknownLatency);
        const duration likely = chance.p95Latency.value_or(unknown);
        return chance.remaining >= std::min({ likely, chance.whole * 3 / 4, mostTimeAskedFor });
    };
    policies.blamesUpstream = [](const dispatch_timing& chance) {
        return chance.remaining >= chance.p95Latency.value_or(chance.whole / 2);
    };
    policies.learnsFromTimeouts = [] { return true; };
    policies.mayRetry = [](const failed_attempt& attempt) {
        return attempt.remaining > duration::zero() && (attempt.traits.idempotent || surelyNotRun(attempt.state));
    };
    policies.isMarkedRefusal = [](const upstream_answer& answer) {
        return answer.metadata.notRun || (answer.status == statusUnavailable && carriesMark(answer));
    };
    policies.needsFreshConnection = [](const request_traits& traits) { return !traits.idempotent; };
    policies.mayBeCrash = [](call_failure failure) { return failure == call_failure::Lost; };
    policies.budgeted = [] { return true; };
    policies.isExemptFromBudget = [](const failed_attempt&) { return false; };
    policies.hedges = [](const request_traits& traits) { return traits.idempotent; };
    policies.hasRoomToHedge = [](bool hasRoom) { return hasRoom; };
    policies.outlivesCaller = [](const request_traits& traits) { return traits.claimed; };
    policies.keepsSlotBusy = [](attempt_ending ending) { return ending != attempt_ending::Finished; };
    policies.releasesLateClaims = [] { return true; };
    policies.refusesWhileStopping = [] { return true; };
    return policies;
}

} // namespace plantainlatch
