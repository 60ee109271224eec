#include "decision/slots/allocator_host.h"

#include <utility>

namespace plantainlatch {

allocator_host::allocator_host(const kernel_hooks& hooks, const vm_settings& settings, allocator_host_options options)
    : m_hooks(hooks)
    , m_settings(settings)
    , m_options(options)
{
}

allocator_host::~allocator_host() { stop(); }

void allocator_host::start(allocator_host_ports ports)
{
    m_ports = std::move(ports);
    m_tickTimer = m_hooks.schedule(m_options.tickInterval, [this] { tick(); });
    if (m_options.polls)
        m_pollTimer = m_hooks.schedule(m_options.pollInterval, [this] { poll(); });
}

void allocator_host::stop()
{
    *m_alive = false;
    m_hooks.cancel(m_tickTimer);
    m_hooks.cancel(m_pollTimer);
}

void allocator_host::applyControlState(const upstream_table& table)
{
    m_table = table;
    const control_snapshot& state = m_ports.control->state();
    const incarnation start = m_ports.membership->start();
    std::erase_if(m_hosted, [&](const auto& item) {
        const auto record = state.allocators.find(item.first);
        return record == state.allocators.end() || record->second.epoch != item.second->epoch;
    });
    for (const auto& [region, record] : state.allocators) {
        const bool isThisIncarnation = record.vm == m_settings.self.id && record.start == start;
        if (isThisIncarnation && !m_hosted.contains(region))
            startAllocator(region, record.epoch);
    }
    const duration longest = longestDeadline(state.config);
    for (auto& [region, item] : m_hosted) {
        item->allocator.setUpstreams(m_table, longest, m_hooks.now());
        for (const auto& [vm, record] : state.vms) {
            if (record.stopped && record.earlierWorkEnded)
                item->allocator.markStopped(vm);
        }
        item->members.clear();
        for (const auto& [id, upstream] : m_table.upstreams) {
            if (upstream.announcement.region == region)
                item->members[upstream.announcement.service].push_back(id);
        }
    }
}

void allocator_host::startAllocator(const region_id& region, allocator_epoch epoch)
{
    const time_point now = m_hooks.now();
    std::set<vm_id> earlierHolders;
    const bool hadEarlierAllocator = epoch > allocator_epoch(1);
    for (const vm_record& vm : m_settings.vms) {
        if (hadEarlierAllocator)
            earlierHolders.insert(vm.id);
    }
    auto item = std::make_unique<hosted>(hosted {
        epoch,
        slot_allocator(region, epoch, std::move(earlierHolders), now, m_options.allocator),
        upstream_health(m_options.health, now),
        {},
    });
    hosted* raw = item.get();
    item->allocator.setUsable([this, raw](const upstream_id& id) { return usable(*raw, id); });
    m_hosted[region] = std::move(item);
    m_hooks.log({ log_level::Info, "slots", "allocates the slots of a region",
        { { "region", region.value() }, { "epoch", std::to_string(epoch.value()) } } });
}

bool allocator_host::usable(const hosted& item, const upstream_id& id) const
{
    const time_point now = m_hooks.now();
    if (!item.health.recentlyAnnounced(id, *m_ports.liveness, now))
        return false;
    const usable_upstream* upstream = m_table.find(id);
    if (upstream == nullptr)
        return false;
    const auto members = item.members.find(upstream->announcement.service);
    return members == item.members.end() || !item.health.isUnhealthy(id, members->second, now);
}

void allocator_host::report(const vm_id& from, const slot_report& report)
{
    const auto found = m_hosted.find(report.region);
    const time_point now = m_hooks.now();
    if (found == m_hosted.end() || found->second->epoch != report.epoch)
        return;
    const std::optional<time_point> leaseEnd = m_ports.membership->allocatorLeaseEnd(report.region);
    if (!leaseEnd || now >= *leaseEnd)
        return;
    // An incarnation that is not in the log yet gets no slots: a later incarnation of the VM would not know that
    // requests of this one may still run.
    const auto& members = m_ports.control->state().vms;
    const auto member = members.find(from);
    if (member == members.end() || member->second.start != report.start)
        return;
    for (const per_upstream_count& warm : report.warmAnswers)
        found->second->health.noteAnswers(warm.upstream, now);
    sendAll(found->second->allocator.report(
        { from, member->second.record.region == report.region, member->second.earlierWorkEnded }, report, now));
}

void allocator_host::sendAll(const std::vector<addressed_grant>& grants)
{
    for (const addressed_grant& grant : grants)
        m_ports.send(grant);
}

void allocator_host::tick()
{
    const time_point now = m_hooks.now();
    for (auto& [region, item] : m_hosted) {
        const std::optional<time_point> leaseEnd = m_ports.membership->allocatorLeaseEnd(region);
        if (leaseEnd && now < *leaseEnd)
            sendAll(item->allocator.tick(now));
    }
    m_tickTimer = m_hooks.schedule(m_options.tickInterval, [this] { tick(); });
}

void allocator_host::poll()
{
    for (const auto& [region, item] : m_hosted) {
        for (const auto& [id, upstream] : m_table.upstreams) {
            if (upstream.announcement.region == region)
                pollUpstream(region, upstream);
        }
    }
    m_pollTimer = m_hooks.schedule(m_options.pollInterval, [this] { poll(); });
}

void allocator_host::pollUpstream(const region_id& region, const usable_upstream& upstream)
{
    const upstream_id id = upstream.announcement.id;
    m_ports.upstreams->poll(upstream.announcement.address, m_options.pollTimeout,
        [this, alive = m_alive, region, id](const absl::StatusOr<load_report>& report) {
            if (!*alive)
                return;
            const auto item = m_hosted.find(region);
            if (item == m_hosted.end())
                return;
            if (report.ok())
                item->second->health.noteReport(id, *report);
            else
                item->second->health.noteMissingReport(id);
        });
}

state_dump allocator_host::dump() const
{
    state_dump shown("allocators");
    for (const auto& [region, item] : m_hosted)
        shown.children.push_back(item->allocator.dump(m_hooks.now()));
    return shown;
}

} // namespace plantainlatch
