#pragma once

/** \file
 * Several VMs with the replicated log alone, on a paused clock, with a fake network, fake disks and a small control
 * state that records what was applied.
 */

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "decision/consensus/consensus_service.h"
#include "kernel/kernel.h"
#include "support/fake_disk.h"
#include "support/fake_network.h"

namespace plantainlatch {

/** A control state that keeps the numbers of applied declarations in the order of their application. */
class recording_control {
public:
    control_port port();
    service asService();
    /** Numbers in the order applied, each proposal once. */
    std::vector<std::uint64_t> numbers() const;

private:
    command_result apply(const proposal& item);

    control_snapshot m_state;
    control_port m_port = port();
};

/** One VM: its disk stays while its processes come and go. */
struct consensus_vm {
    vm_record record;
    std::unique_ptr<fake_disk> disk;
    process_lifetime life;
    peer_port peers;
    storage_port storage;
    std::unique_ptr<peer_router> router;
    std::unique_ptr<recording_control> control;
    std::unique_ptr<consensus_service> subject;
    std::unique_ptr<kernel> runningKernel;
    consensus_port* port = nullptr;

    bool running() const { return life != nullptr; }
};

/** VMs named vm1, vm2, ...; the first `replicas` of them have a disk. */
class consensus_cluster {
public:
    consensus_cluster(int vms, int replicas, std::uint64_t seed = 1, consensus_options with = {});
    ~consensus_cluster();
    consensus_cluster(const consensus_cluster&) = delete;
    consensus_cluster& operator=(const consensus_cluster&) = delete;

    /** Changes the settings of each VM before it starts. */
    std::function<void(vm_settings&)> adjust;

    consensus_vm& vm(int number) { return *m_vms.at(number - 1); }
    int size() const { return static_cast<int>(m_vms.size()); }
    static vm_id name(int number) { return vm_id("vm" + std::to_string(number)); }

    absl::Status start(int number);
    void startAll();
    void kill(int number);
    void advance(duration span) { runtime.advance(span); }
    /** Advances until the condition holds; false after `limit`. */
    bool until(const std::function<bool()>& condition, duration limit = std::chrono::seconds(20));

    /** The number of the VM that leads under a lease; 0 for none. */
    int leader() const;
    std::vector<int> allLeaders() const;
    bool waitForLeader()
    {
        return until([this] { return leader() != 0; });
    }
    /** Proposes a declaration of this number through a VM; the result goes to `results`. */
    void propose(int number, std::uint64_t declared, duration timeout = std::chrono::seconds(5));
    /** Whether all running VMs have applied just the same numbers, up to `last`. */
    bool allApplied(std::uint64_t last) const;
    std::size_t voterCount(int number) { return vm(number).port->voters().voters.size(); }

    paused_runtime runtime;
    fake_network network { runtime };
    consensus_options options;
    std::map<std::uint64_t, absl::StatusOr<command_result>> results;

private:
    std::vector<std::unique_ptr<consensus_vm>> m_vms;
    std::vector<vm_record> m_records;
};

} // namespace plantainlatch
