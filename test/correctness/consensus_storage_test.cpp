#include <catch2/catch.hpp>

#include "support/consensus_fixture.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    class storage_fixture {
    protected:
        void begin(int replicas, consensus_options options = {})
        {
            cluster = std::make_unique<consensus_cluster>(replicas, replicas, 5, options);
            cluster->startAll();
            REQUIRE(cluster->waitForLeader());
            cluster->advance(1s);
        }

        bool proposeAndWait(std::uint64_t number, int through, duration limit = 10s)
        {
            cluster->propose(through, number, limit);
            REQUIRE(cluster->until([&] { return cluster->results.contains(number); }, limit + 1s));
            return cluster->results.at(number).ok();
        }

        void killAll()
        {
            for (int i = 1; i <= cluster->size(); ++i)
                cluster->kill(i);
        }

        /** Kills and restarts all VMs. Returns whether the change is applied on all of them again. */
        bool survivesCrashOfAll(std::uint64_t number)
        {
            killAll();
            cluster->startAll();
            REQUIRE(cluster->waitForLeader());
            return cluster->until([&] { return cluster->allApplied(number); }, 3s);
        }

        void wipeDisk(int number)
        {
            cluster->kill(number);
            cluster->vm(number).disk->wipe();
            REQUIRE(cluster->start(number).ok());
        }

        /** Whether every VM is a voter, with the identity that is stored on its disk. */
        bool allVmsAreVoters()
        {
            const int leader = cluster->leader();
            if (leader == 0)
                return false;
            const voter_set voters = cluster->vm(leader).port->voters();
            if (voters.voters.size() != static_cast<std::size_t>(cluster->size()))
                return false;
            for (const replica_id& voter : voters.voters) {
                for (int i = 1; i <= cluster->size(); ++i) {
                    const auto& state = cluster->vm(i).disk->content().state;
                    if (cluster->name(i) == voter.vm && (!state || state->self != voter))
                        return false;
                }
            }
            return true;
        }

        /** Commits a change on two of three replicas and kills both, wipes the disk of one of them and starts it
         * together with the third, which missed the change. Returns whether these two elect no leader: neither has the
         * change, so a leader elected by them would lose it. */
        bool changeSurvivesBlankVoter(consensus_mechanisms mechanisms)
        {
            consensus_options options;
            options.mechanisms = mechanisms;
            begin(3, options);
            const int leader = cluster->leader();
            const int second = leader % 3 + 1;
            const int third = second % 3 + 1;
            cluster->kill(third);
            REQUIRE(proposeAndWait(1, leader));
            cluster->kill(leader);
            cluster->kill(second);
            cluster->vm(second).disk->wipe();
            REQUIRE(cluster->start(third).ok());
            REQUIRE(cluster->start(second).ok());
            return !cluster->until([&] { return cluster->leader() != 0; }, 10s);
        }

        std::unique_ptr<consensus_cluster> cluster;
    };

} // namespace

TEST_CASE_METHOD(storage_fixture, "acknowledged_change.after_crash_of_all.is_still_there")
{
    begin(3);
    for (int i = 1; i <= 3; ++i) {
        cluster->vm(i).disk->syncTime = 300ms;
        cluster->vm(i).disk->keepsSomeUnsynced = false;
    }
    REQUIRE(proposeAndWait(1, 2));
    REQUIRE(survivesCrashOfAll(1));
}

TEST_CASE_METHOD(storage_fixture, "acknowledged_change.answered_before_sync.is_lost")
{
    consensus_options options;
    options.mechanisms.durableBeforeAnswer = false;
    begin(3, options);
    for (int i = 1; i <= 3; ++i) {
        cluster->vm(i).disk->syncTime = 300ms;
        cluster->vm(i).disk->keepsSomeUnsynced = false;
    }
    REQUIRE(proposeAndWait(1, 2));
    REQUIRE_FALSE(survivesCrashOfAll(1));
}

TEST_CASE_METHOD(storage_fixture, "lost_disk.of_a_voter.is_replaced_by_a_new_replica")
{
    begin(5);
    REQUIRE(proposeAndWait(1, 1));
    const replica_id former = *cluster->vm(1).port->voters().voters.begin();
    wipeDisk(1);
    REQUIRE(cluster->until([&] { return allVmsAreVoters(); }));
    REQUIRE_FALSE(cluster->vm(2).port->voters().voters.contains(former));
    REQUIRE(cluster->until([&] { return cluster->allApplied(1); }));
}

TEST_CASE_METHOD(storage_fixture, "lost_disk.with_its_former_identity.elects_a_leader_without_the_change")
{
    REQUIRE(changeSurvivesBlankVoter({}));
    consensus_mechanisms mechanisms;
    mechanisms.newIdentityOnBlankDisk = false;
    REQUIRE_FALSE(changeSurvivesBlankVoter(mechanisms));
}

TEST_CASE_METHOD(storage_fixture, "second_lost_disk.right_after_the_first_was_replaced.loses_nothing")
{
    begin(5);
    REQUIRE(proposeAndWait(1, 1));
    wipeDisk(1);
    REQUIRE(cluster->until([&] { return allVmsAreVoters(); }));
    wipeDisk(2);
    REQUIRE(proposeAndWait(2, 3));
    REQUIRE(cluster->until([&] { return allVmsAreVoters(); }));
    cluster->kill(3);
    cluster->kill(4);
    REQUIRE(proposeAndWait(3, 1));
    REQUIRE(cluster->until([&] { return cluster->allApplied(3); }));
    REQUIRE(cluster->vm(1).control->numbers().size() == 3);
}

TEST_CASE_METHOD(storage_fixture, "two_lost_disks.at_once.are_replaced_one_at_a_time")
{
    begin(5);
    REQUIRE(proposeAndWait(1, 1));
    cluster->kill(1);
    cluster->vm(1).disk->wipe();
    wipeDisk(2);
    REQUIRE(cluster->start(1).ok());
    REQUIRE(cluster->until([&] { return allVmsAreVoters(); }));
    REQUIRE(proposeAndWait(2, 1));
}

TEST_CASE_METHOD(storage_fixture, "leader.with_a_full_disk.steps_down_and_stops_voting")
{
    begin(3);
    REQUIRE(proposeAndWait(1, 1));
    const int first = cluster->leader();
    cluster->vm(first).disk->failing = true;
    cluster->propose(first, 2, 10s);
    REQUIRE(cluster->until([&] { return cluster->leader() != 0 && cluster->leader() != first; }));
    REQUIRE(proposeAndWait(3, first % 3 + 1));
    REQUIRE(cluster->until([&] { return cluster->allApplied(3); }));
    cluster->kill(cluster->leader());
    REQUIRE_FALSE(cluster->until([&] { return cluster->leader() != 0; }, 10s));
}

// Guards against a replica that stays without a vote for the life of its process after its disk was full for a while.
TEST_CASE_METHOD(storage_fixture, "full_disks.in_turn_on_three_of_five.leave_a_log_that_accepts_changes")
{
    const auto survivesFullDisks = [this](bool rewrites) {
        consensus_options options;
        options.mechanisms.rewriteFailedDisk = rewrites;
        begin(5, options);
        std::uint64_t change = 0;
        for (int i = 1; i <= 3; ++i) {
            cluster->vm(i).disk->failing = true;
            proposeAndWait(++change, 5);
            cluster->advance(4s);
            cluster->vm(i).disk->failing = false;
            cluster->advance(6s);
        }
        const bool accepts = proposeAndWait(++change, 5) && cluster->until([&] { return allVmsAreVoters(); });
        return accepts && survivesCrashOfAll(change);
    };
    REQUIRE(survivesFullDisks(true));
    REQUIRE_FALSE(survivesFullDisks(false));
}

TEST_CASE_METHOD(storage_fixture, "full_disks.of_a_majority_at_once.are_used_again_without_a_restart")
{
    begin(3);
    REQUIRE(proposeAndWait(1, 1));
    for (int i = 1; i <= 3; ++i)
        cluster->vm(i).disk->failing = true;
    REQUIRE_FALSE(proposeAndWait(2, 1, 3s));
    for (int i = 1; i <= 3; ++i)
        cluster->vm(i).disk->failing = false;
    REQUIRE(cluster->waitForLeader());
    REQUIRE(proposeAndWait(3, 1));
    REQUIRE(survivesCrashOfAll(3));
}

TEST_CASE_METHOD(storage_fixture, "single_replica.with_a_full_disk.acknowledges_nothing")
{
    begin(1);
    cluster->vm(1).disk->failing = true;
    REQUIRE_FALSE(proposeAndWait(1, 1, 3s));
}

TEST_CASE_METHOD(storage_fixture, "failed_sync.treated_as_success.loses_the_change")
{
    consensus_options options;
    options.mechanisms.stopAfterFailedWrite = false;
    begin(1, options);
    cluster->vm(1).disk->failing = true;
    REQUIRE(proposeAndWait(1, 1));
    cluster->vm(1).disk->failing = false;
    REQUIRE_FALSE(survivesCrashOfAll(1));
}

TEST_CASE_METHOD(storage_fixture, "damaged_disk.at_start.is_reported_and_the_vm_does_not_start")
{
    begin(3);
    cluster->kill(1);
    cluster->vm(1).disk->damage = absl::DataLossError("log, offset 4711");
    REQUIRE(cluster->start(1).code() == absl::StatusCode::kDataLoss);
}

TEST_CASE_METHOD(storage_fixture, "bootstrapper.losing_its_disk_during_bootstrap.leaves_one_log")
{
    for (int moment = 0; moment < 60; ++moment) {
        cluster = std::make_unique<consensus_cluster>(3, 3, 100 + moment);
        cluster->startAll();
        cluster->advance(moment * 1ms);
        wipeDisk(1);
        REQUIRE(cluster->until([&] { return allVmsAreVoters(); }));
        REQUIRE(proposeAndWait(1, 2));
    }
}

} // namespace plantainlatch
