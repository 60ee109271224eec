#pragma once

/** \file
 * The service that proposes whole configurations and drains to the replicated log, and reads the newest configuration
 * linearizably.
 */

#include <memory>

#include "absl/status/statusor.h"
#include "kernel/hooks.h"
#include "kernel/service.h"
#include "model/vm_settings.h"
#include "ports/configuration_port.h"
#include "ports/consensus_port.h"
#include "ports/control_port.h"

namespace plantainlatch {

/** Options of configuration_service. */
struct configuration_options {
    /** The time limit for a proposal; longer than 1 s, after which a caller without an answer asks another VM. */
    duration proposalTimeout = std::chrono::milliseconds(1500);
};

/** Writes and reads configurations and sets drains; published as "configurations". */
class configuration_service {
public:
    static absl::StatusOr<std::unique_ptr<configuration_service>> create(
        const kernel_hooks& hooks, const vm_settings& settings, configuration_options options = {});

    /** The kernel service; it depends on "control" and "consensus". */
    service asService();

private:
    using done_handler = std::function<void(absl::Status)>;

    configuration_service(const kernel_hooks& hooks, configuration_options options);

    absl::Status start(registry& services);
    void put(configuration content, const done_handler& done);
    /** Proposes the difference between the configuration in force on this VM and `content`; if another one is in force
     * by then, tries once more after this VM has caught up, if `mayRetry`, and else proposes the whole. */
    void amend(const std::shared_ptr<const configuration>& content, bool mayRetry, const done_handler& done);
    void amendOnceCaughtUp(const std::shared_ptr<const configuration>& content, const done_handler& done);
    void replace(const std::shared_ptr<const configuration>& content, const done_handler& done);
    void read(const std::function<void(absl::StatusOr<configuration>)>& done);
    void drain(const set_drain& order, const caller_check& senderWaits, const done_handler& done);
    void propose(control_command command, const std::string& what, const done_handler& done);
    void report(const std::string& what, const absl::Status& status, const done_handler& done);

    kernel_hooks m_hooks;
    configuration_options m_options;
    configuration_port m_port;
    control_port* m_control = nullptr;
    consensus_port* m_consensus = nullptr;
};

} // namespace plantainlatch
