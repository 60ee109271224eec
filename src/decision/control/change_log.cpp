#include "decision/control/change_log.h"

#include "absl/strings/str_cat.h"
#include "decision/control/apply_drain.h"
#include "ports/port_names.h"

namespace plantainlatch {

namespace {

    std::vector<log_field> fieldsOf(const upstream_announcement& upstream)
    {
        const auto cold = std::chrono::duration_cast<std::chrono::milliseconds>(upstream.coldFor).count();
        return { { "upstream", upstream.id.value() }, { "generation", absl::StrCat(upstream.generation.value()) },
            { "upstream_service", upstream.service.value() }, { "address", formatAddress(upstream.address) },
            { "failure_domain", upstream.failureDomain.value() }, { "sequence", absl::StrCat(upstream.sequence) },
            { "draining", upstream.draining ? "yes" : "no" }, { "cold_ms", absl::StrCat(cold) } };
    }

} // namespace

std::unique_ptr<change_log> change_log::create(const kernel_hooks& hooks)
{
    return std::unique_ptr<change_log>(new change_log(hooks));
}

change_log::change_log(const kernel_hooks& hooks)
    : m_hooks(hooks)
{
}

service change_log::asService()
{
    service item;
    item.name = "change_log";
    item.dependencies = { port_names::control, port_names::consensus };
    item.start = [this](registry& services) { return start(services); };
    return item;
}

absl::Status change_log::start(registry& services)
{
    m_control = *services.find<control_port>(port_names::control);
    m_consensus = *services.find<consensus_port>(port_names::consensus);
    m_control->onSteeringChange([this](const steering_change& change) { compare(change); });
    m_consensus->onLeadership([this](const leadership& now) {
        write("leadership-changed",
            { { "leader", now.leader.value() }, { "term", absl::StrCat(now.term.value()) },
                { "leading", now.leading ? "yes" : "no" }, { "current", now.current ? "yes" : "no" } });
    });
    compare({});
    return absl::OkStatus();
}

void change_log::compare(const steering_change& change)
{
    const control_snapshot& state = m_control->state();
    if (change.scope == steering_scope::Vms)
        return;
    if (change.scope == steering_scope::Upstreams) {
        for (const upstream_id& id : change.upstreams)
            compareUpstream(state, id);
        return;
    }
    if (state.config.number != m_number) {
        write("configuration-in-force",
            { { "configuration", absl::StrCat(state.config.number.value()) },
                { "former", absl::StrCat(m_number.value()) }, { "routes", absl::StrCat(state.config.routes.size()) },
                { "accounts", absl::StrCat(state.config.accounts.size()) },
                { "needs-credential", needsCredential(state.config) ? "yes" : "no" } });
    }
    m_number = state.config.number;
    compareUpstreams(state);
    compareDrains(state);
}

void change_log::compareUpstreams(const control_snapshot& state)
{
    std::set<upstream_id> known;
    for (const auto& [id, record] : m_upstreams)
        known.insert(id);
    for (const auto& [id, record] : state.directory)
        known.insert(id);
    for (const upstream_id& id : known)
        compareUpstream(state, id);
}

void change_log::compareUpstream(const control_snapshot& state, const upstream_id& id)
{
    const auto previous = m_upstreams.find(id);
    const auto current = state.directory.find(id);
    if (current == state.directory.end()) {
        if (previous == m_upstreams.end())
            return;
        write("upstream-left", fieldsOf(previous->second.announcement));
        m_upstreams.erase(previous);
        return;
    }
    const upstream_announcement& announcement = current->second.announcement;
    if (previous == m_upstreams.end())
        write("upstream-joined", fieldsOf(announcement));
    else if (!(previous->second.announcement == announcement))
        write("upstream-changed", fieldsOf(announcement));
    m_upstreams.insert_or_assign(id, current->second);
}

void change_log::compareDrains(const control_snapshot& state)
{
    for (const drain_target& target : state.drains) {
        if (!m_drains.contains(target))
            write("drain-began", { { "target", describeTarget(target) } });
    }
    for (const drain_target& target : m_drains) {
        if (!state.drains.contains(target))
            write("drain-ended", { { "target", describeTarget(target) } });
    }
    m_drains = state.drains;
}

void change_log::write(const std::string& what, std::vector<log_field> fields) const
{
    fields.push_back({ "applied", absl::StrCat(m_consensus->applied().value()) });
    m_hooks.log({ log_level::Info, "beliefs", what, std::move(fields) });
}

} // namespace plantainlatch
