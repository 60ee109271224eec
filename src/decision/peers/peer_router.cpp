#include "decision/peers/peer_router.h"

#include <utility>

#include "ports/port_names.h"

namespace plantainlatch {

namespace {

    template <typename Message, typename Handlers>
    void deliverTo(const Handlers& handlers, const vm_id& from, const peer_message& message)
    {
        const Message* typed = std::get_if<Message>(&message);
        if (typed == nullptr)
            return;
        for (const auto& handler : handlers)
            handler(from, *typed);
    }

} // namespace

std::unique_ptr<peer_router> peer_router::create() { return std::unique_ptr<peer_router>(new peer_router); }

service peer_router::asService()
{
    service item;
    item.name = port_names::peerRouter;
    item.dependencies = { port_names::peers };
    item.start = [this](registry& services) -> absl::Status {
        absl::StatusOr<peer_port*> peers = services.find<peer_port>(port_names::peers);
        if (!peers.ok())
            return peers.status();
        m_peers = *peers;
        m_peers->setReceiver([this](const vm_id& from, const peer_message& message) { deliver(from, message); });
        return services.publish(port_names::peerRouter, *this);
    };
    return item;
}

void peer_router::send(const vm_id& to, peer_message message) { m_peers->send(to, std::move(message)); }

void peer_router::deliver(const vm_id& from, const peer_message& message)
{
    deliverTo<consensus_message>(m_consensus, from, message);
    deliverTo<slot_message>(m_slots, from, message);
    deliverTo<control_message>(m_control, from, message);
}

} // namespace plantainlatch
