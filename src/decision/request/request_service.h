#pragma once

/** \file
 * The entry point of the request path: admits callers' requests, runs them on upstreams and answers each one once.
 */

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "absl/container/flat_hash_map.h"
#include "absl/status/statusor.h"
#include "decision/accounts/account_table.h"
#include "decision/accounts/shared_read_barrier.h"
#include "decision/request/request_environment.h"
#include "decision/request/request_run.h"
#include "decision/request/retry_budget.h"
#include "decision/routes/route_table.h"
#include "kernel/service.h"
#include "model/vm_settings.h"
#include "ports/membership_port.h"
#include "ports/quota_port.h"
#include "ports/request_port.h"

namespace plantainlatch {

/** Admits, runs and answers requests. Publishes a request_port under the name "requests". */
class request_service {
public:
    static absl::StatusOr<std::unique_ptr<request_service>> create(
        const kernel_hooks& hooks, const vm_settings& settings, request_options options = {});

    /** The kernel service, which depends on "control", "consensus", "slots" and "upstreams", on "membership" if the age
     * of the leader contact is limited, and on "quotas" if requests are charged. */
    service asService();

    const request_statistics& statistics() const { return m_statistics; }
    std::size_t requestsInFlight() const { return m_running.size(); }
    std::size_t pendingSettlements() const { return m_claims->pendingSettlements(); }
    std::size_t lateClaims() const { return m_claims->lateClaims(); }

private:
    /** A request in flight; `deliver` is empty once the caller has left. */
    struct running_request {
        std::shared_ptr<request_run> run;
        std::function<void(caller_answer)> deliver;
    };
    /** A request that waits until it is known whether an account has its credential. */
    struct unidentified_request {
        caller_request content;
        std::function<void(caller_answer)> deliver;
        time_point arrivedAt;
        /** The number of the barrier after which the credential is looked up again. */
        std::uint64_t barrier = 0;
        timer_id deadlineTimer;
    };
    /** Whether the credential was looked up after everything was applied that was committed before the arrival. */
    enum class account_lookup { First, AfterBarrier };
    enum class lifecycle {
        Serving,
        /** Stopping, but still accepting requests, as callers may have cached a list of entries with this VM. */
        LameDuck,
        /** New requests are refused. */
        Draining,
    };

    request_service(const kernel_hooks& hooks, const vm_settings& settings, request_options options);

    absl::Status start(registry& services);
    void stop(std::function<void()> stopped);
    void drain();
    void finishStop();
    state_dump dump() const;

    request_id submit(caller_request request, std::function<void(caller_answer)> deliver);
    void submitRouted(request_id id, caller_request request, std::function<void(caller_answer)> deliver,
        account_lookup lookup = account_lookup::First);
    /** `account` is null for requests without an account. */
    void submitTo(request_id id, const route_definition* route, const client_account* account, caller_request request,
        std::function<void(caller_answer)> deliver);
    /** Whether the leader answered a heartbeat of this VM recently enough to serve requests that need a credential. */
    bool hasRequiredContact() const;
    bool mayWaitForAccount(const caller_request& request) const;
    /** Looks the credential up again once this VM has applied everything that is committed now. */
    void waitForAccount(request_id id, const route_definition& route, caller_request request,
        std::function<void(caller_answer)> deliver);
    void onBarrierEnd(std::uint64_t number, const absl::Status& status);
    /** Removes a request that waits for its account, with its deadline reduced by the time that it waited. */
    std::optional<unidentified_request> takeUnidentified(request_id id);
    void refuseUnidentified(request_id id, answer_reason reason);
    void creditRetryBudget(const service_id& service);
    bool tryAcquireRetry(const service_id& service);
    void cancel(request_id id);
    /** Whether this VM's configuration is up to date, so that a service or route missing from it does not exist. */
    bool hasCurrentConfiguration() const;
    /** `reason`, which says that the configuration lacks something, if the configuration is up to date. */
    answer_reason currentOrNotReady(answer_reason reason) const;
    /** Charges the request to the quota of its account, and returns the answer if the quota is used up. */
    std::optional<caller_answer> chargeQuota(const caller_request& request, const request_traits& traits);
    /** Answers a request that is not admitted. */
    void refuse(const caller_request& request, caller_answer answer, const std::function<void(caller_answer)>& deliver);
    std::optional<answer_reason> refusalReason(const caller_request& request, const service_definition* definition);
    admitted_request admit(caller_request request, const route_definition* route, const client_account* account,
        const service_definition& definition);
    void onDone(const admitted_request& request, caller_answer answer);
    void countAnswer(const caller_answer& answer);
    std::uint32_t connectionShare(const service_definition& definition) const;

    kernel_hooks m_hooks;
    vm_settings m_settings;
    request_options m_options;
    request_port m_port;
    control_port* m_control = nullptr;
    consensus_port* m_consensus = nullptr;
    /** Null if the age of the leader contact is not limited. */
    membership_port* m_membership = nullptr;
    /** Not set if requests are not charged. */
    quota_port* m_quotas = nullptr;
    std::unique_ptr<key_claims> m_claims;
    std::unique_ptr<crash_guard> m_crashes;
    retry_budget m_budget;
    std::optional<retry_window> m_retryWindow;
    route_table m_routes;
    account_table m_accounts;
    std::shared_ptr<shared_read_barrier> m_accountBarrier;
    /** Ordered by arrival. */
    std::map<request_id, unidentified_request> m_unidentified;
    std::uint64_t m_unidentifiedBytes = 0;
    hedge_policy m_hedges;
    request_durations m_durations;
    request_statistics m_statistics;
    std::unique_ptr<request_environment> m_environment;
    std::uint64_t m_lastRequest = 0;
    std::uint64_t m_lastCall = 0;
    std::uint64_t m_bodyBytes = 0;
    absl::flat_hash_map<request_id, running_request> m_running;
    lifecycle m_lifecycle = lifecycle::Serving;
    std::function<void()> m_stopped;
};

} // namespace plantainlatch
