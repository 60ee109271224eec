#include <catch2/catch.hpp>

#include "support/consensus_fixture.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    class election_fixture {
    protected:
        void begin(consensus_mechanisms mechanisms = {})
        {
            consensus_options options;
            options.mechanisms = mechanisms;
            cluster = std::make_unique<consensus_cluster>(5, 5, 3, options);
            cluster->startAll();
            REQUIRE(cluster->waitForLeader());
            cluster->advance(1s);
            first = cluster->leader();
            other = first % 5 + 1;
        }

        /** Whether two VMs hold a leader lease at the same time within `span`. */
        bool sawTwoLeaders(duration span)
        {
            return cluster->until([this] { return cluster->allLeaders().size() > 1; }, span);
        }

        bool isLedByAnother() { return cluster->leader() != 0 && cluster->leader() != first; }

        /** Cuts the connection between `first` and `other` in both directions; all other connections work. */
        void disconnectFromLeaderOnly()
        {
            cluster->network.cut(cluster->name(first), cluster->name(other));
            cluster->network.cut(cluster->name(other), cluster->name(first));
        }

        std::unique_ptr<consensus_cluster> cluster;
        int first = 0;
        int other = 0;
    };

} // namespace

TEST_CASE_METHOD(election_fixture, "leader.isolated.loses_its_lease_before_another_replica_leads")
{
    begin();
    cluster->network.isolate(cluster->name(first));
    REQUIRE_FALSE(sawTwoLeaders(5s));
    REQUIRE(isLedByAnother());
    REQUIRE_FALSE(cluster->vm(first).port->state().current);
}

TEST_CASE_METHOD(election_fixture, "leader.isolated_with_a_lease_without_quorum.leads_beside_another_leader")
{
    consensus_mechanisms mechanisms;
    mechanisms.leaseNeedsQuorum = false;
    begin(mechanisms);
    cluster->network.isolate(cluster->name(first));
    REQUIRE(sawTwoLeaders(5s));
}

TEST_CASE_METHOD(election_fixture, "voter.in_contact_with_the_leader.refuses_a_candidate_without_leader_contact")
{
    begin();
    disconnectFromLeaderOnly();
    REQUIRE_FALSE(sawTwoLeaders(10s));
    REQUIRE(cluster->leader() == first);
}

TEST_CASE_METHOD(election_fixture, "voter.without_vote_refusal_under_lease.allows_two_leaders")
{
    consensus_mechanisms mechanisms;
    mechanisms.voteRefusalUnderLease = false;
    begin(mechanisms);
    disconnectFromLeaderOnly();
    REQUIRE(sawTwoLeaders(10s));
}

TEST_CASE_METHOD(election_fixture, "replica.back_after_isolation.does_not_disturb_the_leader")
{
    begin();
    cluster->network.isolate(cluster->name(other));
    cluster->advance(20s);
    cluster->network.healAll();
    cluster->advance(5s);
    REQUIRE(cluster->leader() == first);
}

TEST_CASE_METHOD(election_fixture, "replica.back_after_isolation_without_pre_vote.forces_a_new_term")
{
    consensus_mechanisms mechanisms;
    mechanisms.preVote = false;
    begin(mechanisms);
    const log_term term = cluster->vm(first).port->state().term;
    cluster->network.isolate(cluster->name(other));
    cluster->advance(20s);
    cluster->network.healAll();
    cluster->advance(5s);
    REQUIRE(cluster->vm(first).port->state().term > term);
}

TEST_CASE_METHOD(election_fixture, "restarted_voter.within_a_lease.does_not_elect_another_leader")
{
    begin();
    for (int i = 1; i <= 5; ++i) {
        if (i == first)
            continue;
        cluster->kill(i);
        REQUIRE(cluster->start(i).ok());
        cluster->network.cut(cluster->name(first), cluster->name(i));
    }
    REQUIRE_FALSE(sawTwoLeaders(5s));
    REQUIRE(isLedByAnother());
}

TEST_CASE_METHOD(election_fixture, "leader.stopped.transfers_leadership_within_an_election_timeout")
{
    begin();
    bool stopped = false;
    const time_point began = cluster->runtime.now();
    cluster->vm(first).runningKernel->stop([&stopped] { stopped = true; });
    REQUIRE(cluster->until([this] { return isLedByAnother(); }, 500ms));
    REQUIRE(cluster->until([&stopped] { return stopped; }, 500ms));
    REQUIRE(cluster->runtime.now() - began < cluster->options.electionTimeout);
}

TEST_CASE_METHOD(election_fixture, "leadership_transfer.under_message_loss.never_makes_two_leaders")
{
    begin();
    cluster->network.faults = { 200, 200, 300, 3s };
    for (int i = 0; i < 20; ++i) {
        const int leader = cluster->leader();
        if (leader != 0)
            cluster->vm(leader).port->transferLeadership(1s, [] {});
        REQUIRE_FALSE(sawTwoLeaders(2s));
    }
    cluster->network.faults = {};
    REQUIRE(cluster->waitForLeader());
}

TEST_CASE_METHOD(election_fixture, "vm.isolated.reports_that_it_is_not_current")
{
    begin();
    REQUIRE(cluster->vm(other).port->state().current);
    cluster->network.isolate(cluster->name(other));
    cluster->advance(1s);
    REQUIRE_FALSE(cluster->vm(other).port->state().current);
}

TEST_CASE_METHOD(election_fixture, "elections.under_every_message_fault.never_make_two_leaders")
{
    begin();
    cluster->network.faults = { 150, 100, 200, 2s };
    REQUIRE_FALSE(sawTwoLeaders(120s));
    cluster->network.faults = {};
    REQUIRE(cluster->waitForLeader());
}

} // namespace plantainlatch
