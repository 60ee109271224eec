#include <algorithm>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "support/consensus_fixture.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    constexpr duration recoveryTime = 15s;
    /** The time after which a machine that is back, or the successor of a removed one, counts as caught up. */
    constexpr duration catchUpTime = 4s;

    /** Five replicas in three regions, a sixth one that is started by tests, and a VM without a disk. Each VM knows
     * three seeds and itself. */
    class final_fault_fixture {
    protected:
        void begin(std::uint64_t seed)
        {
            consensus_options options;
            options.maximumVoterCount = 5;
            options.snapshotEvery = 20;
            options.trailingEntries = 5;
            cluster = std::make_unique<consensus_cluster>(7, 6, seed, options);
            cluster->adjustSettings = [this](vm_settings& settings) {
                const auto isUnknown = [&settings](const vm_record& vm) {
                    return vm.id > consensus_cluster::name(3) && vm.id != settings.self.id;
                };
                std::erase_if(settings.vms, isUnknown);
                settings.membership = membership_mode::Seeded;
                settings.mayBootstrapLog = mayBootstrap && settings.self.id <= consensus_cluster::name(3);
            };
            cluster->network.delay = [this](const vm_id& from, const vm_id& to) -> duration {
                const bool isNear = from.value().back() % 3 == to.value().back() % 3;
                return (isNear ? 900us : 12ms) + std::chrono::microseconds(cluster->runtime.random() % 500);
            };
            // Slower than the network, so that a change which is answered before its sync is not durable yet.
            for (int number = 1; number <= cluster->size(); ++number)
                cluster->vm(number).disk->syncTime = 40ms;
            mayBootstrap = true;
            replicas = { 1, 2, 3, 4, 5 };
            acknowledged.clear();
            for (int number = 1; number <= cluster->size(); ++number)
                cluster->vm(number).record.failureDomain = domainOf(number);
            startAll();
            REQUIRE(cluster->until([this] { return cluster->leader() != 0 && voters().size() == 5; }));
            mayBootstrap = false;
            for (int number : replicas)
                recordStart(number);
            cluster->advance(1s);
        }

        static failure_domain_id domainOf(int number) { return failure_domain_id("d" + std::to_string(number)); }
        /** Has the log record a start of the VM, as its membership service does. */
        void recordStart(int number)
        {
            const consensus_vm& started = cluster->vm(number);
            started.port->propose(vm_started { started.record, incarnation(1) }, 5s, [](const auto&) {});
        }

        void startAll()
        {
            for (int number : replicas)
                (void)cluster->start(number);
            (void)cluster->start(7);
        }

        std::set<replica_id> voters() { return cluster->vm(cluster->leader()).port->voters().voters; }
        bool isVoter(int number)
        {
            const std::set<replica_id> present = voters();
            return std::any_of(present.begin(), present.end(),
                [number](const replica_id& voter) { return voter.vm == consensus_cluster::name(number); });
        }

        /** A running replica that does not lead, counted from the leader on. */
        int follower(int distance)
        {
            const int leader = cluster->leader();
            return (leader - 1 + distance) % 5 + 1;
        }

        /** Proposes a change and returns at the moment of its acknowledgement. */
        void acknowledgeChange()
        {
            const auto running = std::find_if(
                replicas.rbegin(), replicas.rend(), [this](int number) { return cluster->vm(number).running(); });
            const std::uint64_t change = acknowledged.size() + 1;
            cluster->propose(*running, change, 10s);
            while (!cluster->results.contains(change))
                cluster->runtime.step();
            REQUIRE(cluster->results.at(change).ok());
            acknowledged.push_back(change);
        }
        void acknowledgeChanges(int count)
        {
            for (int i = 0; i < count; ++i)
                acknowledgeChange();
        }

        void loseDisk(int number)
        {
            cluster->kill(number);
            cluster->vm(number).disk->wipe();
        }
        /** Removes a machine for good. */
        void remove(int number)
        {
            cluster->kill(number);
            replicas.erase(number);
        }
        /** Starts the successor of a removed machine, in the same failure domain. */
        void startSuccessorOf(int removed)
        {
            replicas.insert(6);
            cluster->vm(6).record.failureDomain = domainOf(removed);
            REQUIRE(cluster->start(6).ok());
            recordStart(6);
        }

        /** All machines lose power at once, and `lost` their disks. Returns whether each replica reads all acknowledged
         * changes back in time. */
        bool survivesFinalFault(const std::set<int>& lost, bool keepsSomeUnsynced)
        {
            for (int number = 1; number <= cluster->size(); ++number) {
                cluster->vm(number).disk->keepsSomeUnsynced = keepsSomeUnsynced;
                cluster->kill(number);
            }
            for (int number : lost)
                cluster->vm(number).disk->wipe();
            cluster->advance(3s);
            startAll();
            return readsBack();
        }

        bool readsBack()
        {
            std::set<int> read;
            std::set<int> asked;
            const auto readAll = [&] {
                for (int number : replicas) {
                    if (!asked.insert(number).second)
                        continue;
                    cluster->vm(number).port->readBarrier(2s, [&, number](const absl::Status& status) {
                        asked.erase(number);
                        if (status.ok() && cluster->vm(number).control->numbers() == acknowledged)
                            read.insert(number);
                    });
                }
                return read.size() == replicas.size();
            };
            const bool allRead = cluster->until(readAll, recoveryTime);
            // Lets the last barriers end, which refer to local variables.
            cluster->until([&] { return asked.empty(); }, 3s);
            return allRead;
        }

        std::unique_ptr<consensus_cluster> cluster;
        std::set<int> replicas;
        std::vector<std::uint64_t> acknowledged;
        bool mayBootstrap = true;
    };

} // namespace

// Guards against an acknowledgement that rests on fewer disks than the tolerance needs, also after earlier faults.
TEST_CASE_METHOD(final_fault_fixture, "final_fault.any_two_disks_after_an_acknowledgement.loses_nothing")
{
    const std::vector<std::pair<std::string, std::function<void()>>> states {
        { "steady", [] {} },
        { "a leader was just killed", [this] { cluster->kill(cluster->leader()); } },
        { "a voter is caught up by a snapshot",
            [this] {
                const int behind = follower(1);
                cluster->kill(behind);
                acknowledgeChanges(40);
                REQUIRE(cluster->start(behind).ok());
                cluster->advance(100ms);
            } },
        { "three full disks are rewritten",
            [this] {
                for (int distance : { 0, 1, 2 })
                    cluster->vm(follower(distance)).disk->failing = true;
                // Its entry is the write that fails.
                cluster->vm(cluster->leader()).port->readBarrier(1s, [](const absl::Status&) {});
                cluster->advance(2s);
                for (int number : replicas)
                    cluster->vm(number).disk->failing = false;
            } },
        { "two lost disks were replaced",
            [this] {
                const std::set<int> lost { cluster->leader(), follower(2) };
                for (int number : lost)
                    loseDisk(number);
                cluster->advance(1s);
                startAll();
                cluster->advance(catchUpTime);
            } },
        { "the leader was replaced by another machine",
            [this] {
                const int leader = cluster->leader();
                remove(leader);
                startSuccessorOf(leader);
                cluster->advance(catchUpTime);
            } },
    };
    std::uint64_t seed = 0;
    for (const auto& [name, enter] : states) {
        for (int first = 0; first < 5; ++first) {
            for (int second = first + 1; second < 5; ++second) {
                begin(++seed);
                acknowledgeChanges(3);
                enter();
                acknowledgeChange();
                const std::set<int> lost { *std::next(replicas.begin(), first), *std::next(replicas.begin(), second) };
                CAPTURE(name, seed, lost);
                REQUIRE(survivesFinalFault(lost, seed % 2 == 0));
            }
        }
    }
}

// Guards against a machine that counts as replaced while the log still needs its vote.
TEST_CASE_METHOD(final_fault_fixture, "removed_leader.with_a_successor_at_once.is_replaced_within_the_catch_up_time")
{
    for (std::uint64_t seed = 1; seed <= 80; ++seed) {
        begin(seed);
        const int leader = cluster->leader();
        remove(leader);
        startSuccessorOf(leader);
        cluster->advance(catchUpTime);
        CAPTURE(seed);
        REQUIRE(cluster->leader() != 0);
        REQUIRE(isVoter(6));
        REQUIRE_FALSE(isVoter(leader));
    }
}

// Guards against a vote that is taken from a machine which is only down, before another machine has one in its place.
TEST_CASE_METHOD(final_fault_fixture, "replacement_of_a_voter.interrupted_by_a_second_removal.loses_nothing")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        begin(seed);
        acknowledgeChanges(3);
        const int down = follower(1);
        const int second = follower(3);
        cluster->kill(down);
        cluster->advance(2s);
        const int first = follower(2);
        remove(first);
        startSuccessorOf(first);
        const std::set<replica_id> former = voters();
        REQUIRE(cluster->until([&] { return cluster->leader() != 0 && voters() != former; }));
        remove(second);
        REQUIRE(cluster->start(down).ok());
        CAPTURE(seed);
        REQUIRE(readsBack());
    }
}

// Guards against a successor that takes the vote of a machine with a sound disk, while the removed one keeps its own.
TEST_CASE_METHOD(final_fault_fixture, "successor.beside_another_silent_voter.replaces_the_removed_one")
{
    for (int distance = 1; distance <= 4; ++distance) {
        for (const bool hasFullDisk : { false, true }) {
            begin(distance);
            const int removed = follower(distance);
            const int other = follower(distance % 4 + 1);
            if (hasFullDisk)
                cluster->vm(other).disk->failing = true;
            else
                cluster->kill(other);
            remove(removed);
            cluster->advance(2s);
            startSuccessorOf(removed);
            cluster->advance(1s);
            CAPTURE(removed, other, hasFullDisk);
            REQUIRE(isVoter(6));
            REQUIRE(isVoter(other));
            REQUIRE_FALSE(isVoter(removed));
        }
    }
}

} // namespace plantainlatch
