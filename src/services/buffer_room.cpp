#include "services/buffer_room.h"

#include <algorithm>

#include "core/internal_assert.h"

namespace plantainlatch {

const char* nameOf(buffer_use use)
{
    switch (use) {
    case buffer_use::Connections:
        return "connections";
    case buffer_use::Request:
        return "request";
    case buffer_use::PipelinedInput:
        return "pipelined_input";
    case buffer_use::ParsedBody:
        return "parsed_body";
    case buffer_use::UpstreamAnswer:
        return "upstream_answer";
    case buffer_use::Output:
        return "output";
    case buffer_use::PeerInput:
        return "peer_input";
    case buffer_use::PeerOutput:
        return "peer_output";
    }
    internal_assert(false) << "invalid buffer use " << static_cast<int>(use);
    return "";
}

void buffer_room::add(buffer_owner owner, std::size_t bytes)
{
    m_held += bytes;
    m_heldByOwner[owner] += bytes;
}

void buffer_room::remove(buffer_owner owner, std::size_t bytes)
{
    const auto held = m_heldByOwner.find(owner);
    internal_assert(held != m_heldByOwner.end() && held->second >= bytes)
        << bytes << " bytes are released and were not held";
    m_held -= bytes;
    held->second -= bytes;
    if (held->second == 0)
        m_heldByOwner.erase(held);
}

std::size_t buffer_room::heldBy(buffer_owner owner) const
{
    const auto held = m_heldByOwner.find(owner);
    return held != m_heldByOwner.end() ? held->second : 0;
}

bool buffer_room::mayReclaim(
    const buffer_holding& item, const buffer_holding& requester, std::size_t bytes, time_point now) const
{
    if (&item == &requester || now - item.lastStep < m_stallTime)
        return false;
    const bool isStopped = now - item.lastProgress >= m_stallTime;
    return isStopped || heldBy(item.owner) > heldBy(requester.owner) + bytes;
}

bool buffer_room::canMakeRoom(const buffer_holding& requester, std::size_t bytes, time_point now) const
{
    std::size_t available = m_limit - std::min(m_limit, m_held);
    for (const buffer_holding& item : m_reclaimable) {
        if (available >= bytes)
            break;
        if (mayReclaim(item, requester, bytes, now))
            available += item.bytes;
    }
    return available >= bytes;
}

holding_list::iterator buffer_room::nextToReclaim(const buffer_holding& requester, std::size_t bytes, time_point now)
{
    auto found = m_reclaimable.end();
    std::size_t mostHeld = 0;
    for (auto item = m_reclaimable.begin(); item != m_reclaimable.end(); ++item) {
        if (!mayReclaim(*item, requester, bytes, now))
            continue;
        const std::size_t held = heldBy(item->owner);
        if (held > mostHeld) {
            mostHeld = held;
            found = item;
        }
    }
    return found;
}

} // namespace plantainlatch
