#include "decision/entries/entry_list_service.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

#include "absl/hash/hash.h"
#include "decision/control/apply_drain.h"
#include "ports/port_names.h"

namespace plantainlatch {

namespace {

    /** The weights of entries, indexed by how much farther an entry is than the nearest one in the list. */
    constexpr std::uint32_t distanceWeights[] = { 100, 10, 1 };

    /** 0 for the same failure domain, 1 for the same region, 2 for others. */
    std::size_t distanceOf(const vm_record& vm, const failure_domain_id& near, const region_id& nearRegion)
    {
        if (vm.failureDomain == near)
            return 0;
        return !nearRegion.empty() && vm.region == nearRegion ? 1 : 2;
    }

    /** Orders entries of equal distance differently for each failure domain, which spreads the callers over the
     * entries. */
    std::size_t spreadRankOf(const vm_record& vm, const failure_domain_id& near)
    {
        return absl::HashOf(vm.id.value(), near.value());
    }

    bool contains(const std::vector<vm_id>& items, const vm_id& wanted)
    {
        return std::find(items.begin(), items.end(), wanted) != items.end();
    }

} // namespace

absl::StatusOr<std::unique_ptr<entry_list_service>> entry_list_service::create(
    const kernel_hooks&, const vm_settings& settings, entry_list_options options)
{
    if (options.maximumEntries == 0)
        return absl::InvalidArgumentError("maximumEntries must be at least 1");
    return std::unique_ptr<entry_list_service>(new entry_list_service(settings, options));
}

entry_list_service::entry_list_service(const vm_settings& settings, entry_list_options options)
    : m_settings(settings)
    , m_options(options)
{
    m_port.list = [this](const failure_domain_id& near) { return list(near); };
    m_port.onChange = [this](auto listener) { m_listeners.push_back(std::move(listener)); };
}

service entry_list_service::asService()
{
    service item;
    item.name = port_names::entryList;
    item.dependencies = { port_names::control, port_names::membership };
    item.start = [this](registry& services) { return start(services); };
    return item;
}

absl::Status entry_list_service::start(registry& services)
{
    m_control = *services.find<control_port>(port_names::control);
    m_membership = *services.find<membership_port>(port_names::membership);
    m_control->onSteeringChange([this](const steering_change& change) {
        if (change.scope != steering_scope::Upstreams)
            refresh();
    });
    m_membership->onAvoidedChange([this] { refresh(); });
    m_inputs = collectInputs();
    return services.publish(port_names::entryList, m_port);
}

entry_list_service::list_inputs entry_list_service::collectInputs() const
{
    list_inputs inputs;
    const control_snapshot& state = m_control->state();
    for (const auto& [id, started] : state.vms) {
        if (started.record.entry)
            inputs.vms.push_back(started.record);
    }
    if (inputs.vms.empty()) {
        std::copy_if(m_settings.vms.begin(), m_settings.vms.end(), std::back_inserter(inputs.vms),
            [](const vm_record& vm) { return vm.entry; });
    }
    inputs.unavailable = m_membership->avoided();
    for (const vm_record& vm : inputs.vms) {
        const bool isStopping = vm.id == m_settings.self.id && m_membership->stopping();
        const bool isDraining = m_options.drainsCoverVms && isVmDraining(state, vm);
        if ((isStopping || isDraining) && !contains(inputs.unavailable, vm.id))
            inputs.unavailable.push_back(vm.id);
    }
    return inputs;
}

void entry_list_service::refresh()
{
    list_inputs inputs = collectInputs();
    if (inputs == m_inputs)
        return;
    m_inputs = std::move(inputs);
    for (const auto& listener : m_listeners)
        listener();
}

entry_list entry_list_service::list(const failure_domain_id& near) const
{
    std::vector<vm_record> chosen;
    for (const vm_record& vm : m_inputs.vms) {
        if (!m_options.excludeUnavailable || !contains(m_inputs.unavailable, vm.id))
            chosen.push_back(vm);
    }
    if (chosen.empty())
        chosen = m_inputs.vms; // These entries may still answer, while an empty list is useless.
    const region_id nearRegion = regionOf(m_control->state().config, near);
    const auto rank = [&](const vm_record& vm) {
        return std::make_tuple(distanceOf(vm, near, nearRegion), spreadRankOf(vm, near), vm.id);
    };
    std::sort(chosen.begin(), chosen.end(),
        [&](const vm_record& left, const vm_record& right) { return rank(left) < rank(right); });
    const auto isOutsideRegion = [&](const vm_record& vm) { return nearRegion.empty() || vm.region != nearRegion; };
    const auto firstOutsideRegion = std::find_if(chosen.begin(), chosen.end(), isOutsideRegion);
    const auto inRegionCount = static_cast<std::size_t>(firstOutsideRegion - chosen.begin());
    if (m_options.regionOnlyThreshold > 0 && inRegionCount >= m_options.regionOnlyThreshold)
        chosen.erase(firstOutsideRegion, chosen.end());
    chosen.resize(std::min(chosen.size(), m_options.maximumEntries));
    entry_list result;
    result.cacheTime = m_settings.lookupCacheTime;
    const std::size_t nearest = chosen.empty() ? 0 : distanceOf(chosen.front(), near, nearRegion);
    for (vm_record& vm : chosen) {
        const std::size_t farther = distanceOf(vm, near, nearRegion) - nearest;
        result.entries.push_back({ std::move(vm), distanceWeights[farther] });
    }
    return result;
}

} // namespace plantainlatch
