#pragma once

/** \file
 * A cluster of VMs that run only the consensus service, on a simulated clock, with a fake network, fake disks and a
 * control state that records the applied proposals.
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

/** A control state that records the numbers of applied declarations in order. */
class recording_control {
public:
    control_port port();
    service asService();
    /** The numbers of the applied declarations in order; a proposal that is applied repeatedly counts once. */
    std::vector<std::uint64_t> numbers() const;

private:
    command_result apply(const proposal& item);

    control_snapshot m_state;
    control_port m_port = port();
};

/** One VM. Its disk persists when its process is killed and restarted. */
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

/** VMs named vm1, vm2, ...; the first `replicas` of them are replicas, the others learners. */
class consensus_cluster {
public:
    consensus_cluster(int vms, int replicas, std::uint64_t seed = 1, consensus_options initialOptions = {});
    ~consensus_cluster();
    consensus_cluster(const consensus_cluster&) = delete;
    consensus_cluster& operator=(const consensus_cluster&) = delete;

    /** Modifies the settings of each VM before it starts; may be empty. */
    std::function<void(vm_settings&)> adjustSettings;

    consensus_vm& vm(int number) { return *m_vms.at(number - 1); }
    int size() const { return static_cast<int>(m_vms.size()); }
    static vm_id name(int number) { return vm_id("vm" + std::to_string(number)); }

    absl::Status start(int number);
    void startAll();
    void kill(int number);
    void advance(duration span) { runtime.advance(span); }
    /** Advances the clock until the condition holds; false if it does not hold within `limit`. */
    bool until(const std::function<bool()>& condition, duration limit = std::chrono::seconds(20));

    /** The number of the first VM that is the leader with a valid lease; 0 for none. */
    int leader() const;
    std::vector<int> allLeaders() const;
    bool waitForLeader()
    {
        return until([this] { return leader() != 0; });
    }
    /** Proposes a declaration with the number `declared` on VM `number`; the result is stored in `results`. */
    void propose(int number, std::uint64_t declared, duration timeout = std::chrono::seconds(5));
    /** Whether all running VMs have applied the same sequence of numbers, which ends with `last`. */
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
