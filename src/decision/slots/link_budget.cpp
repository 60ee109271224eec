#include "decision/slots/link_budget.h"

#include <algorithm>

namespace plantainlatch {

namespace {

    /** A bucket holds at most the bytes that its budget provides in this time. */
    constexpr duration burstDuration = std::chrono::milliseconds(250);

    double seconds(duration span) { return std::chrono::duration<double>(span).count(); }

} // namespace

link_budget::link_budget(region_id self, std::uint32_t vmsInRegion, bool enforced)
    : m_self(std::move(self))
    , m_vmsInRegion(std::max<std::uint32_t>(vmsInRegion, 1))
    , m_enforced(enforced)
{
}

void link_budget::setLinks(const configuration& config, time_point now)
{
    const std::map<region_id, link> former = std::exchange(m_links, {});
    for (const auto& [key, definition] : config.links) {
        const bool leaves = definition.left == m_self;
        if (!leaves && definition.right != m_self)
            continue;
        const region_id& remote = leaves ? definition.right : definition.left;
        const auto before = former.find(remote);
        link& item = m_links[remote];
        if (before != former.end())
            item = before->second;
        for (bucket* direction : { &item.toRemote, &item.fromRemote }) {
            direction->bytesPerSecond = static_cast<double>(definition.budget.value()) / m_vmsInRegion;
            if (before == former.end())
                direction->refilledAt = now;
        }
    }
}

void link_budget::refill(bucket& item, time_point now)
{
    const double gained = item.bytesPerSecond * seconds(now - item.refilledAt);
    item.balance = std::min(item.balance + gained, item.bytesPerSecond * seconds(burstDuration));
    item.refilledAt = now;
}

bool link_budget::trySend(const region_id& target, byte_count size, time_point now)
{
    const auto found = m_links.find(target);
    if (!m_enforced || found == m_links.end())
        return true;
    refill(found->second.toRemote, now);
    refill(found->second.fromRemote, now);
    const auto bytes = static_cast<double>(size.value());
    if (found->second.toRemote.balance < bytes || found->second.fromRemote.balance < 0)
        return false;
    found->second.toRemote.balance -= bytes;
    return true;
}

void link_budget::chargeAnswer(const region_id& source, byte_count size, time_point now)
{
    const auto found = m_links.find(source);
    if (found == m_links.end())
        return;
    refill(found->second.fromRemote, now);
    found->second.fromRemote.balance -= static_cast<double>(size.value());
}

} // namespace plantainlatch
