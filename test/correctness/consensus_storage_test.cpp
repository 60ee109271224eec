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

        bool accept(std::uint64_t number, int through, duration limit = 10s)
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

        /** Kills and restarts all once a change was acknowledged; whether it is still there. */
        bool outlivesCrashOfAll(std::uint64_t number)
        {
            killAll();
            cluster->startAll();
            REQUIRE(cluster->waitForLeader());
            return cluster->until([&] { return cluster->allApplied(number); }, 3s);
        }

        void loseDisk(int number)
        {
            cluster->kill(number);
            cluster->vm(number).disk->wipe();
            REQUIRE(cluster->start(number).ok());
        }

        /** All voters have working disks that they have now, and there are as many as VMs. */
        bool isWhole()
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

        /** A change agreed by two of three survives the loss of the disk of one of them, or it does not. */
        bool changeSurvivesBlankVoter(consensus_mechanisms mechanisms)
        {
            consensus_options options;
            options.mechanisms = mechanisms;
            begin(3, options);
            const int leader = cluster->leader();
            const int second = leader % 3 + 1;
            const int third = second % 3 + 1;
            cluster->kill(third);
            REQUIRE(accept(1, leader));
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
    REQUIRE(accept(1, 2));
    REQUIRE(outlivesCrashOfAll(1));
}

TEST_CASE_METHOD(storage_fixture, "acknowledged_change.answered_before_sync.would_be_lost")
{
    consensus_options options;
    options.mechanisms.durableBeforeAnswer = false;
    begin(3, options);
    for (int i = 1; i <= 3; ++i) {
        cluster->vm(i).disk->syncTime = 300ms;
        cluster->vm(i).disk->keepsSomeUnsynced = false;
    }
    REQUIRE(accept(1, 2));
    REQUIRE_FALSE(outlivesCrashOfAll(1));
}

TEST_CASE_METHOD(storage_fixture, "lost_disk.of_a_voter.comes_back_as_a_new_replica")
{
    begin(5);
    REQUIRE(accept(1, 1));
    const replica_id former = *cluster->vm(1).port->voters().voters.begin();
    loseDisk(1);
    REQUIRE(cluster->until([&] { return isWhole(); }));
    REQUIRE_FALSE(cluster->vm(2).port->voters().voters.contains(former));
    REQUIRE(cluster->until([&] { return cluster->allApplied(1); }));
}

TEST_CASE_METHOD(storage_fixture, "lost_disk.under_its_old_identity.would_elect_without_the_change")
{
    REQUIRE(changeSurvivesBlankVoter({}));
    consensus_mechanisms mechanisms;
    mechanisms.newIdentityOnBlankDisk = false;
    REQUIRE_FALSE(changeSurvivesBlankVoter(mechanisms));
}

TEST_CASE_METHOD(storage_fixture, "second_lost_disk.right_after_the_first_was_replaced.loses_nothing")
{
    begin(5);
    REQUIRE(accept(1, 1));
    loseDisk(1);
    REQUIRE(cluster->until([&] { return isWhole(); }));
    loseDisk(2);
    REQUIRE(accept(2, 3));
    REQUIRE(cluster->until([&] { return isWhole(); }));
    cluster->kill(3);
    cluster->kill(4);
    REQUIRE(accept(3, 1));
    REQUIRE(cluster->until([&] { return cluster->allApplied(3); }));
    REQUIRE(cluster->vm(1).control->numbers().size() == 3);
}

TEST_CASE_METHOD(storage_fixture, "two_lost_disks.at_once.are_replaced_one_at_a_time")
{
    begin(5);
    REQUIRE(accept(1, 1));
    cluster->kill(1);
    cluster->vm(1).disk->wipe();
    loseDisk(2);
    REQUIRE(cluster->start(1).ok());
    REQUIRE(cluster->until([&] { return isWhole(); }));
    REQUIRE(accept(2, 1));
}

TEST_CASE_METHOD(storage_fixture, "leader.with_a_full_disk.steps_down_and_stops_voting")
{
    begin(3);
    REQUIRE(accept(1, 1));
    const int first = cluster->leader();
    cluster->vm(first).disk->failing = true;
    cluster->propose(first, 2, 10s);
    REQUIRE(cluster->until([&] { return cluster->leader() != 0 && cluster->leader() != first; }));
    REQUIRE(accept(3, first % 3 + 1));
    REQUIRE(cluster->until([&] { return cluster->allApplied(3); }));
    cluster->kill(cluster->leader());
    REQUIRE_FALSE(cluster->until([&] { return cluster->leader() != 0; }, 10s));
}

TEST_CASE_METHOD(storage_fixture, "lone_replica.with_a_full_disk.acknowledges_nothing")
{
    begin(1);
    cluster->vm(1).disk->failing = true;
    REQUIRE_FALSE(accept(1, 1, 3s));
}

TEST_CASE_METHOD(storage_fixture, "failed_sync.taken_for_a_good_one.would_lose_the_change")
{
    consensus_options options;
    options.mechanisms.stopAfterFailedWrite = false;
    begin(1, options);
    cluster->vm(1).disk->failing = true;
    REQUIRE(accept(1, 1));
    cluster->vm(1).disk->failing = false;
    REQUIRE_FALSE(outlivesCrashOfAll(1));
}

TEST_CASE_METHOD(storage_fixture, "damaged_disk.at_start.is_reported_and_the_vm_does_not_start")
{
    begin(3);
    cluster->kill(1);
    cluster->vm(1).disk->damage = absl::DataLossError("log, offset 4711");
    REQUIRE(cluster->start(1).code() == absl::StatusCode::kDataLoss);
}

TEST_CASE_METHOD(storage_fixture, "decider.losing_its_disk_while_a_log_begins.leaves_one_log")
{
    for (int moment = 0; moment < 60; ++moment) {
        cluster = std::make_unique<consensus_cluster>(3, 3, 100 + moment);
        cluster->startAll();
        cluster->advance(moment * 1ms);
        loseDisk(1);
        REQUIRE(cluster->until([&] { return isWhole(); }));
        REQUIRE(accept(1, 2));
    }
}

} // namespace plantainlatch
