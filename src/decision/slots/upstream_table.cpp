#include "decision/slots/upstream_table.h"

#include <algorithm>

#include "decision/control/apply_directory.h"

namespace plantainlatch {

namespace {

    bool isDrained(const control_snapshot& state, const upstream_announcement& upstream)
    {
        const auto drained = [&state](drain_kind kind, const std::string& name) {
            return state.drains.contains({ kind, name });
        };
        return drained(drain_kind::Upstream, upstream.id.value())
            || drained(drain_kind::FailureDomain, upstream.failureDomain.value())
            || drained(drain_kind::Region, upstream.region.value());
    }

    usable_upstream makeUsable(const control_snapshot& state, const upstream_announcement& announcement)
    {
        usable_upstream result;
        result.announcement = announcement;
        const auto service = state.config.services.find(announcement.service);
        if (service == state.config.services.end())
            return result;
        result.maximumDeadline = service->second.maximumDeadline;
        result.connections = std::min(announcement.connections, service->second.connections);
        if (isDrained(state, announcement) || state.config.withdrawnUpstreams.contains(announcement.id))
            return result;
        result.capacity = static_cast<std::uint32_t>(effectiveSlots(state.config, announcement).value());
        return result;
    }

} // namespace

const usable_upstream* upstream_table::find(const upstream_id& id) const
{
    const auto position = upstreams.find(id);
    return position == upstreams.end() ? nullptr : &position->second;
}

upstream_table makeUpstreamTable(const control_snapshot& state)
{
    upstream_table table;
    for (const auto& [id, record] : state.directory) {
        table.upstreams[id] = makeUsable(state, record.announcement);
        table.byService[record.announcement.service].push_back(id);
    }
    return table;
}

duration longestDeadline(const configuration& config)
{
    duration longest {};
    for (const auto& [id, service] : config.services)
        longest = std::max(longest, service.maximumDeadline);
    return longest;
}

} // namespace plantainlatch
