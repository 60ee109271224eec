#include "support/fake_network.h"

#include <algorithm>

#include "model/approximate_size.h"

namespace plantainlatch {

peer_port fake_network::attach(const vm_id& vm, const process_lifetime& life)
{
    m_processes[vm] = { life, {} };
    peer_port port;
    port.send = [this, vm, alive = std::weak_ptr<bool>(life)](const vm_id& to, peer_message message) {
        if (!alive.expired())
            send(vm, to, std::move(message));
    };
    port.setReceiver = [this, vm](receiver receive) { m_processes[vm].receive = std::move(receive); };
    return port;
}

void fake_network::healAll()
{
    m_cuts.clear();
    m_isolated.clear();
}

bool fake_network::isCut(const vm_id& from, const vm_id& to) const
{
    return m_isolated.contains(from) || m_isolated.contains(to) || m_cuts.contains({ from, to });
}

void fake_network::send(const vm_id& from, const vm_id& to, peer_message message)
{
    if (drops && drops(from, to, message))
        return;
    if (onSend)
        onSend(from, to, message);
    if (isCut(from, to) || happens(faults.lostPerMille))
        return;
    const auto shared = std::make_shared<const peer_message>(std::move(message));
    const int copies = happens(faults.duplicatedPerMille) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        duration span = delay(from, to) + transferTime(to, *shared);
        if (happens(faults.delayedPerMille))
            span += duration(m_runtime.random() % static_cast<std::uint64_t>(faults.maximumExtraDelay.count()));
        deliverAfter(span, from, to, shared);
    }
}

duration fake_network::transferTime(const vm_id& to, const peer_message& message)
{
    const std::uint64_t rate = bytesPerSecond ? bytesPerSecond(to) : 0;
    if (rate == 0)
        return duration::zero();
    const std::chrono::duration<double> span(static_cast<double>(approximateSize(message)) / static_cast<double>(rate));
    time_point& freeAt = m_linkFreeAt[to];
    freeAt = std::max(freeAt, m_runtime.now()) + std::chrono::duration_cast<duration>(span);
    return freeAt - m_runtime.now();
}

void fake_network::deliverAfter(
    duration span, const vm_id& from, const vm_id& to, std::shared_ptr<const peer_message> message)
{
    m_runtime.schedule(span, [this, from, to, message = std::move(message)] {
        const auto process = m_processes.find(to);
        if (process == m_processes.end() || process->second.life.expired() || isCut(from, to))
            return;
        if (process->second.receive)
            process->second.receive(from, *message);
    });
}

} // namespace plantainlatch
