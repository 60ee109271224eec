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
#include "decision/request/request_environment.h"
#include "decision/request/request_run.h"
#include "decision/request/retry_budget.h"
#include "decision/routes/route_table.h"
#include "kernel/service.h"
#include "model/vm_settings.h"
#include "ports/quota_port.h"
#include "ports/request_port.h"

namespace plantainlatch {

/** Admits, runs and answers requests. Publishes a request_port under the name "requests". */
class request_service {
public:
    static absl::StatusOr<std::unique_ptr<request_service>> create(
        const kernel_hooks& hooks, const vm_settings& settings, request_options options = {});

    /** The kernel service, which depends on "control", "consensus", "slots" and "upstreams", and on "quotas" if
     * requests are charged. */
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
    request_id submitRouted(caller_request request, std::function<void(caller_answer)> deliver);
    request_id submitTo(
        const route_definition* route, caller_request request, std::function<void(caller_answer)> deliver);
    void creditRetryBudget(const service_id& service);
    bool tryAcquireRetry(const service_id& service);
    void cancel(request_id id);
    /** Whether this VM's configuration is up to date, so that a service or route missing from it does not exist. */
    bool hasCurrentConfiguration() const;
    /** Charges the request to the quota of its account, and returns the answer if the quota is used up. */
    std::optional<caller_answer> chargeQuota(const caller_request& request, const request_traits& traits);
    void refuse(const caller_request& request, caller_answer answer, const std::function<void(caller_answer)>& deliver);
    std::optional<answer_reason> refusalReason(const caller_request& request, const service_definition* definition);
    admitted_request admit(caller_request request, const route_definition* route, const service_definition& definition);
    void onDone(const admitted_request& request, caller_answer answer);
    void countAnswer(const caller_answer& answer);
    std::uint32_t connectionShare(const service_definition& definition) const;

    kernel_hooks m_hooks;
    vm_settings m_settings;
    request_options m_options;
    request_port m_port;
    control_port* m_control = nullptr;
    consensus_port* m_consensus = nullptr;
    /** Not set if requests are not charged. */
    quota_port* m_quotas = nullptr;
    std::unique_ptr<key_claims> m_claims;
    std::unique_ptr<crash_guard> m_crashes;
    retry_budget m_budget;
    std::optional<retry_window> m_retryWindow;
    route_table m_routes;
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
