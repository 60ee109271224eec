#include "decision/quotas/quota_service.h"

#include <utility>

#include "decision/entries/known_entries.h"
#include "ports/port_names.h"

namespace plantainlatch {

absl::StatusOr<std::unique_ptr<quota_service>> quota_service::create(
    const kernel_hooks& hooks, const vm_settings& settings, quota_division_options options)
{
    if (options.lease <= duration::zero() || options.drift < duration::zero() || options.lending < 2 * options.lease
        || options.slack < 0)
        return absl::InvalidArgumentError("the lease of quotas must be positive, the drift and the slack not negative, "
                                          "and the lending at least twice the lease");
    return std::unique_ptr<quota_service>(new quota_service(hooks, settings, options));
}

quota_service::quota_service(const kernel_hooks& hooks, const vm_settings& settings, quota_division_options options)
    : m_hooks(hooks)
    , m_settings(settings)
    , m_options(options)
{
    m_port.acquire = [this](const account_id& account) { return acquire(account); };
    m_port.refund = [this](const account_id& account) { m_entry->refund(account, m_hooks.now()); };
}

service quota_service::asService()
{
    service item;
    item.name = port_names::quotas;
    item.dependencies = { port_names::control, port_names::consensus, port_names::membership };
    item.start = [this](registry& services) { return start(services); };
    item.dump = [this] { return dump(); };
    return item;
}

absl::Status quota_service::start(registry& services)
{
    absl::Status status = services.findInto(port_names::control, m_control);
    status.Update(services.findInto(port_names::consensus, m_consensus));
    status.Update(services.findInto(port_names::membership, m_membership));
    if (!status.ok())
        return status;
    m_membership->onHeartbeat([this](const vm_heartbeat& heartbeat, heartbeat_answer& answer) {
        if (needsCredential(m_control->state().config))
            leases().answer(accounts(), knownEntries(m_control->state()), heartbeat, answer, m_hooks.now());
    });
    if (!m_settings.self.entry)
        return absl::OkStatus();
    m_entry.emplace(m_settings.self.id, m_hooks.now(), m_options);
    update();
    m_control->onSteeringChange([this](const steering_change& change) {
        if (change.scope != steering_scope::Upstreams)
            update();
    });
    m_membership->onSend([this](vm_heartbeat& heartbeat) { heartbeat.accountDemand = m_entry->report(m_hooks.now()); });
    m_membership->onAnswer([this](const heartbeat_answer& answer, time_point sentAt) {
        m_entry->receive(accounts(), answer, sentAt, m_hooks.now());
    });
    return services.publish(port_names::quotas, m_port);
}

void quota_service::update() { m_entry->update(accounts(), knownEntries(m_control->state()), m_hooks.now()); }

const std::map<account_id, client_account>& quota_service::accounts()
{
    const configuration& config = m_control->state().config;
    if (m_accountsNumber != config.number) {
        m_accountsNumber = config.number;
        m_accounts = withSlack(config.accounts, m_options.slack);
    }
    return m_accounts;
}

quota_verdict quota_service::acquire(const account_id& account)
{
    const quota_charge charge = m_entry->acquire(accounts(), account, m_hooks.now());
    if (charge.beginsToRefuse) {
        m_hooks.log(
            { log_level::Info, port_names::quotas, "account-exceeds-quota", { { "account", account.value() } } });
    }
    return charge.verdict;
}

quota_leases& quota_service::leases()
{
    const log_term term = m_consensus->state().term;
    if (!m_leases || m_leasesTerm != term) {
        m_leasesTerm = term;
        m_leases.emplace(m_options, m_hooks.now());
    }
    return *m_leases;
}

state_dump quota_service::dump() const
{
    state_dump shown(port_names::quotas);
    if (m_entry)
        m_entry->dumpTo(shown, m_hooks.now());
    if (m_leases && m_membership->isCaughtUpLeader())
        shown.add("leased_accounts", static_cast<std::uint64_t>(m_leases->accounts()));
    return shown;
}

} // namespace plantainlatch
