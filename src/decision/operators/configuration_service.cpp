#include "decision/operators/configuration_service.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "decision/control/apply_drain.h"
#include "decision/declarations/configuration_difference.h"
#include "decision/operators/drain_order.h"
#include "decision/routes/route_table.h"
#include "ports/port_names.h"

namespace plantainlatch {

namespace {

    std::string nameOf(const configuration& content) { return absl::StrCat("configuration ", content.number.value()); }

    absl::Status statusOf(const absl::StatusOr<command_result>& result)
    {
        if (!result.ok())
            return result.status();
        const bool accepted
            = result->verdict == command_verdict::Accepted || result->verdict == command_verdict::AlreadyAccepted;
        return accepted ? absl::OkStatus() : absl::FailedPreconditionError(result->message);
    }

} // namespace

absl::StatusOr<std::unique_ptr<configuration_service>> configuration_service::create(
    const kernel_hooks& hooks, const vm_settings&, configuration_options options)
{
    return std::unique_ptr<configuration_service>(new configuration_service(hooks, options));
}

configuration_service::configuration_service(const kernel_hooks& hooks, configuration_options options)
    : m_hooks(hooks)
    , m_options(options)
{
    m_port.put = [this](configuration content, const done_handler& done) { put(std::move(content), done); };
    m_port.read = [this](const std::function<void(absl::StatusOr<configuration>)>& done) { read(done); };
    m_port.drain
        = [this](const drain_target& target, bool draining, const caller_check& senderWaits, const done_handler& done) {
              drain({ target, draining, {} }, senderWaits, done);
          };
}

service configuration_service::asService()
{
    service item;
    item.name = port_names::configurations;
    item.dependencies = { port_names::control, port_names::consensus };
    item.start = [this](registry& services) { return start(services); };
    return item;
}

absl::Status configuration_service::start(registry& services)
{
    m_control = *services.find<control_port>(port_names::control);
    m_consensus = *services.find<consensus_port>(port_names::consensus);
    return services.publish(port_names::configurations, m_port);
}

void configuration_service::put(configuration content, const done_handler& done)
{
    finding_list findings;
    checkRoutes(content, "configuration", findings);
    if (!findings.empty()) {
        done(findings.toStatus());
        return;
    }
    // The applied configuration is committed, and a configuration with the same or a lower number has no effect.
    if (content.number <= m_control->state().config.number) {
        done(absl::OkStatus());
        return;
    }
    amend(std::make_shared<const configuration>(std::move(content)), true, done);
}

void configuration_service::amend(
    const std::shared_ptr<const configuration>& content, bool mayRetry, const done_handler& done)
{
    const configuration& inForce = m_control->state().config;
    std::optional<configuration_difference> difference = differenceBetween(inForce, *content);
    if (!difference) {
        replace(content, done);
        return;
    }
    m_consensus->propose(amend_configuration { inForce.number, std::move(*difference) }, m_options.proposalTimeout,
        [this, content, mayRetry, done](const absl::StatusOr<command_result>& result) {
            const bool hasOtherBase = result.ok() && result->verdict == command_verdict::Conflict;
            if (!hasOtherBase)
                report(nameOf(*content), statusOf(result), done);
            else if (mayRetry)
                amendOnceCaughtUp(content, done);
            else
                replace(content, done);
        });
}

void configuration_service::amendOnceCaughtUp(
    const std::shared_ptr<const configuration>& content, const done_handler& done)
{
    m_consensus->readBarrier(m_options.proposalTimeout, [this, content, done](const absl::Status& status) {
        if (status.ok())
            amend(content, false, done);
        else
            replace(content, done);
    });
}

void configuration_service::replace(const std::shared_ptr<const configuration>& content, const done_handler& done)
{
    propose(replace_configuration { *content }, nameOf(*content), done);
}

void configuration_service::read(const std::function<void(absl::StatusOr<configuration>)>& done)
{
    m_consensus->readBarrier(m_options.proposalTimeout, [this, done](const absl::Status& status) {
        if (!status.ok())
            done(absl::UnavailableError(status.message()));
        else if (m_control->state().config.number == change_number())
            done(absl::UnavailableError("no configuration has been accepted yet"));
        else
            done(m_control->state().config);
    });
}

void configuration_service::drain(const set_drain& order, const caller_check& senderWaits, const done_handler& done)
{
    const std::string what
        = absl::StrCat(order.draining ? "drain of " : "end of the drain of ", describeTarget(order.target));
    proposeDrain({ m_consensus, m_control, m_options.proposalTimeout }, order, senderWaits,
        [this, what, done](const absl::StatusOr<command_result>& result) { report(what, statusOf(result), done); });
}

void configuration_service::propose(control_command command, const std::string& what, const done_handler& done)
{
    m_consensus->propose(std::move(command), m_options.proposalTimeout,
        [this, what, done](const absl::StatusOr<command_result>& result) { report(what, statusOf(result), done); });
}

void configuration_service::report(const std::string& what, const absl::Status& status, const done_handler& done)
{
    m_hooks.log({ log_level::Info, "configurations", status.ok() ? "accepted" : "not accepted",
        { { "order", what }, { "why", std::string(status.message()) } } });
    done(status);
}

} // namespace plantainlatch
