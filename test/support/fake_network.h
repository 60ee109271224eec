#pragma once

/** \file
 * A network between simulated VMs that loses, delays, doubles, reorders and cuts messages.
 */

#include <functional>
#include <map>
#include <set>
#include <utility>

#include "ports/peer_port.h"
#include "support/process_hooks.h"

namespace plantainlatch {

/** How the network treats every message; the chances are out of 1000. */
struct network_faults {
    std::uint64_t lostPerMille = 0;
    std::uint64_t doubledPerMille = 0;
    /** A late message takes up to `lateness` longer, and others pass it. */
    std::uint64_t latePerMille = 0;
    duration lateness = std::chrono::seconds(2);
};

/** Delivers messages between the processes that are attached. */
class fake_network {
public:
    explicit fake_network(paused_runtime& runtime)
        : m_runtime(runtime)
    {
    }

    network_faults faults;
    /** The one-way delay between two VMs. */
    std::function<duration(const vm_id& from, const vm_id& to)> delay
        = [](const vm_id&, const vm_id&) { return std::chrono::milliseconds(1); };
    /** Loses the messages for which it is true; none if empty. */
    std::function<bool(const vm_id& from, const vm_id& to, const peer_message&)> drops;
    /** Sees each message as it is sent. */
    std::function<void(const vm_id& from, const vm_id& to, const peer_message&)> onSend;

    /** The port of one process; messages reach it while it lives and nobody else was attached under its name. */
    peer_port attach(const vm_id& vm, const process_lifetime& life);

    /** Cuts one direction. */
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
    bool happens(std::uint64_t perMille) { return perMille > 0 && m_runtime.random() % 1000 < perMille; }
    bool isCut(const vm_id& from, const vm_id& to) const;

    paused_runtime& m_runtime;
    std::map<vm_id, attached_process> m_processes;
    std::set<std::pair<vm_id, vm_id>> m_cuts;
    std::set<vm_id> m_isolated;
};

} // namespace plantainlatch
