#include "decision/vm/routed_vm.h"

#include <algorithm>
#include <array>
#include <utility>

#include "decision/vm/make_service.h"

namespace plantainlatch {

namespace {

    /** Equal requests are refused once they have crashed this many upstreams. */
    constexpr std::size_t crashLimit = 3;
    /** The maximum number of attempts of one request, including those that reached no upstream. */
    constexpr std::size_t maximumAttempts = 6;
    /** A request with less time left until its deadline is not sent, as its answer would likely come too late. */
    constexpr duration minimumRemaining = std::chrono::milliseconds(20);
    /** With this many entries in its own region, a caller is given no entries of other regions. */
    constexpr std::size_t regionOnlyThreshold = 2;

    /** The directory removes an upstream after this many missed renewals. */
    constexpr int missedRenewals = 4;
    /** The share of the configured retry budget that entries use. The rest is a margin for counting errors, as each
     * entry counts on its own and with a delay. */
    constexpr double usedBudgetShare = 0.8;
    /** The share of the slack of quotas that entries use. The rest is a margin for requests that are admitted in one
     * window and reach their upstreams in the next. */
    constexpr double usedQuotaSlack = 0.8;
    /** Entries may exceed the rate of an account by this factor until the leader limits it, 1.2 s at the most. In a
     * window of 5 s with a burst of one second that is a tenth of what the quota allows. */
    constexpr double openQuotaFactor = 1.4;
    constexpr double minimumOpenOvershoot = 0.1;

    /** With a revocation time, the heartbeat interval is at most this part of it, so that a lost heartbeat or two don't
     * make an entry refuse requests. */
    constexpr int revocationHeartbeats = 4;
    /** The part of the revocation time that is left for the delivery of a change after the last answered heartbeat. */
    constexpr int revocationMargins = 8;
    /** Shorter ones could not be told from the round trip to another region. */
    constexpr duration minimumRevocationTime = std::chrono::milliseconds(200);

    /** The statuses that tell a caller that its request did not run: timeout while reading it, wrong upstream, too many
     * requests, and unavailable. */
    constexpr std::array notRunStatuses { 408, 421, 429, 503 };

    request_policies routedPolicies()
    {
        request_policies policies = defaultRequestPolicies();
        policies.statesNotRun = [](int status) {
            return std::find(notRunStatuses.begin(), notRunStatuses.end(), status) != notRunStatuses.end();
        };
        policies.shouldStartCall = [](const dispatch_timing& timing) { return timing.remaining > minimumRemaining; };
        // Idle connections can be reused: each request names its upstream, and if another one receives it, its refusal
        // reports that it did not execute the request. A reused connection loses a request only if its peer no longer
        // answers.
        policies.needsFreshConnection = [](const request_traits&) { return false; };
        policies.isExemptFromBudget
            = [](const failed_attempt& ended) { return ended.state == attempt_state::NotOffered; };
        policies.hedges = [](const request_traits&) { return false; };
        return policies;
    }

} // namespace

routed_options routedOptionsFor(const routed_bounds& bounds)
{
    routed_options options;
    options.control.directory = { false, true, false };
    options.directory.rules = options.control.directory;
    options.directory.renewalOwner = renewal_owner::Leader;
    options.membership.assignsAllocators = false;
    options.entryList.regionOnlyThreshold = regionOnlyThreshold;
    options.entryList.drainsCoverVms = false;
    options.requests.crashes = { crashLimit, false };
    options.requests.maximumAttempts = maximumAttempts;
    // No lame-duck time is needed: the front end has answered all callers' requests before this service stops.
    options.requests.lameDuckTime = duration::zero();
    options.requests.policies = routedPolicies();
    options.requests.chargesQuotas = true;
    options.quotas.slack = bounds.quotaSlack * usedQuotaSlack;
    if (bounds.quotaOvershoot >= minimumOpenOvershoot)
        options.quotas.openFactor = openQuotaFactor;
    options.requests.retryWindow = retry_window_options { bounds.retryWindow, bounds.retryShare * usedBudgetShare,
        bounds.retrySlack * usedBudgetShare };
    options.placement.cold = bounds.cold;
    if (bounds.revocationTime) {
        const duration revocation = std::max(*bounds.revocationTime, minimumRevocationTime);
        duration& heartbeat = options.membership.heartbeatInterval;
        heartbeat = std::min(heartbeat, revocation / revocationHeartbeats);
        options.requests.maximumContactAge = revocation - heartbeat - revocation / revocationMargins;
    }
    if (bounds.replicasThatMayFail > 0)
        options.consensus.maximumVoterCount = 2 * bounds.replicasThatMayFail + 1;
    if (bounds.renewalInterval > duration::zero()) {
        options.directory.renewalInterval = bounds.renewalInterval;
        options.directory.silenceTimeout = bounds.renewalInterval * (missedRenewals - 1);
        options.directory.removalTimeout = bounds.renewalInterval * missedRenewals;
    }
    return options;
}

absl::StatusOr<std::unique_ptr<routed_vm>> routed_vm::create(
    const kernel_hooks& hooks, const vm_settings& settings, routed_options options)
{
    std::unique_ptr<routed_vm> vm(new routed_vm);
    absl::Status status;
    vm->m_changes = change_log::create(hooks);
    vm->m_router = peer_router::create();
    makeService(status, vm->m_control, hooks, settings, options.control);
    makeService(status, vm->m_consensus, hooks, settings, options.consensus);
    makeService(status, vm->m_membership, hooks, settings, options.membership);
    makeService(status, vm->m_directory, hooks, settings, options.directory);
    makeService(status, vm->m_entryList, hooks, settings, options.entryList);
    makeService(status, vm->m_configurations, hooks, settings, options.configurations);
    makeService(status, vm->m_quotas, hooks, settings, options.quotas);
    if (settings.self.entry) {
        makeService(status, vm->m_placement, hooks, settings, options.placement);
        makeService(status, vm->m_requests, hooks, settings, std::move(options.requests));
    }
    if (!status.ok())
        return status;
    return vm;
}

void routed_vm::addTo(kernel& core)
{
    core.add(m_router->asService());
    core.add(m_control->asService());
    core.add(m_consensus->asService());
    core.add(m_changes->asService());
    core.add(m_membership->asService());
    core.add(m_directory->asService());
    core.add(m_entryList->asService());
    core.add(m_configurations->asService());
    core.add(m_quotas->asService());
    if (m_placement != nullptr)
        core.add(m_placement->asService());
    if (m_requests != nullptr)
        core.add(m_requests->asService());
}

} // namespace plantainlatch
