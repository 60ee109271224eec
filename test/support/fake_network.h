#pragma once

/** \file
 * A simulated network between VMs that can lose, delay, duplicate and reorder messages, and cut connections.
 */

#include <functional>
#include <map>
#include <set>
#include <utility>

#include "ports/peer_port.h"
#include "support/process_hooks.h"

namespace plantainlatch {

/** The random faults of the network; probabilities are per mille of the messages. */
struct network_faults {
    std::uint64_t lostPerMille = 0;
    std::uint64_t duplicatedPerMille = 0;
    /** Delayed messages take a random extra time below `maximumExtraDelay`, so later messages may overtake them. */
    std::uint64_t delayedPerMille = 0;
    duration maximumExtraDelay = std::chrono::seconds(2);
};

/** Delivers messages between the processes that are attached. */
class fake_network {
public:
    explicit fake_network(paused_runtime& runtime)
        : m_runtime(runtime)
    {
    }

    network_faults faults;
    /** The one-way latency from one VM to another. */
    std::function<duration(const vm_id& from, const vm_id& to)> delay
        = [](const vm_id&, const vm_id&) { return std::chrono::milliseconds(1); };
    /** The bandwidth of the link of a receiving VM in bytes per second, which its messages share; may be empty, and 0
     * is unlimited. */
    std::function<std::uint64_t(const vm_id& to)> bytesPerSecond;
    /** Returns whether to drop a message; may be empty. */
    std::function<bool(const vm_id& from, const vm_id& to, const peer_message&)> drops;
    /** Called for each message that `drops` does not drop, before it may be lost to faults or cuts; may be empty. */
    std::function<void(const vm_id& from, const vm_id& to, const peer_message&)> onSend;

    /** The peer port for one process. It receives messages while the process lives, until another one is attached under
     * the same name. */
    peer_port attach(const vm_id& vm, const process_lifetime& life);

    /** Drops all messages in one direction. */
    void cut(const vm_id& from, const vm_id& to) { m_cuts.insert({ from, to }); }
    void heal(const vm_id& from, const vm_id& to) { m_cuts.erase({ from, to }); }
    /** Cuts a VM off in both directions. */
    void isolate(const vm_id& vm) { m_isolated.insert(vm); }
    void rejoin(const vm_id& vm) { m_isolated.erase(vm); }
    void healAll();

private:
    using receiver = std::function<void(const vm_id& from, const peer_message&)>;
    struct attached_process {
        std::weak_ptr<bool> life;
        receiver receive;
    };

    void send(const vm_id& from, const vm_id& to, peer_message message);
    void deliverAfter(duration span, const vm_id& from, const vm_id& to, std::shared_ptr<const peer_message> message);
    /** How long the message waits for and occupies the link of its receiver. */
    duration transferTime(const vm_id& to, const peer_message& message);
    bool happens(std::uint64_t perMille) { return perMille > 0 && m_runtime.random() % 1000 < perMille; }
    bool isCut(const vm_id& from, const vm_id& to) const;

    paused_runtime& m_runtime;
    std::map<vm_id, attached_process> m_processes;
    std::set<std::pair<vm_id, vm_id>> m_cuts;
    std::set<vm_id> m_isolated;
    /** When the link of each VM has transferred all messages sent so far. */
    std::map<vm_id, time_point> m_linkFreeAt;
};

} // namespace plantainlatch
