#pragma once

/** \file
 * A cluster of VMs with their control services on one simulated clock. The log is a stub that applies commands in
 * order, and tests can isolate VMs from the network.
 */

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "decision/control/control_service.h"
#include "decision/membership/membership_service.h"
#include "decision/peers/peer_router.h"
#include "kernel/kernel.h"
#include "ports/consensus_port.h"
#include "ports/peer_port.h"
#include "ports/port_names.h"
#include "support/paused_runtime.h"

namespace plantainlatch {

class control_cluster;

struct cluster_vm {
    vm_settings settings;
    std::unique_ptr<kernel> root;
    std::unique_ptr<control_service> control;
    std::unique_ptr<peer_router> router;
    std::unique_ptr<membership_service> membership;
    peer_port peers;
    consensus_port consensus;
    std::function<void(const vm_id&, peer_message)> receiver;
    std::vector<std::function<void(const leadership&)>> leadershipListeners;
    std::size_t applied = 0;
    incarnation start;
    std::uint64_t sequence = 0;

    template <typename Port> Port& port(const char* name) { return **root->services().find<Port>(name); }
    const control_snapshot& state() { return port<control_port>(port_names::control).state(); }
};

/** VMs "a", "b", "c" and so on, assigned round-robin to the regions and failure domains of threeRegionDeclaration(). */
class control_cluster {
public:
    /** `add` adds further services to each VM before it starts. */
    control_cluster(std::uint64_t seed, std::size_t size, membership_options options,
        std::function<void(control_cluster&, cluster_vm&)> add = {});

    cluster_vm& vm(const std::string& name) { return *vms.at(vm_id(name)); }
    void setLeader(const std::string& name);
    /** Isolates a VM from all others and from the log. */
    void cut(const std::string& name) { m_isolated.insert(vm_id(name)); }
    void heal(const std::string& name) { m_isolated.erase(vm_id(name)); }
    bool isCut(const vm_id& vm) const { return m_isolated.contains(vm); }
    /** Applies a command at the leader without delay; each other VM applies it after a random delay. */
    command_result apply(control_command command);
    /** Isolates a VM permanently, which the other VMs can't distinguish from a crash. */
    void kill(const std::string& name) { cut(name); }

    paused_runtime runtime;
    std::map<vm_id, std::unique_ptr<cluster_vm>> vms;
    vm_id leader;
    log_term term;
    /** The maximum of the random delays of messages and log entries. */
    duration maximumDelay = std::chrono::milliseconds(40);

private:
    void makeVm(const std::vector<vm_record>& records, std::size_t position, membership_options options);
    void makeConsensus(cluster_vm& created);
    void send(const vm_id& from, const vm_id& to, const peer_message& message);
    void append(const proposal& item, std::function<void(command_result)> applied);
    void catchUp(cluster_vm& follower);
    leadership stateOf(const vm_id& vm) const;
    duration randomDelay();

    std::vector<proposal> m_log;
    std::set<vm_id> m_isolated;
};

} // namespace plantainlatch
