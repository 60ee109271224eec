#include <catch2/catch.hpp>

#include "decision/consensus/voter_changes.h"
#include "support/consensus_fixture.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    replica_id replicaOf(const std::string& vm, std::uint64_t disk = 1) { return { vm_id(vm), incarnation(disk) }; }

    class voter_changes_fixture {
    protected:
        std::set<replica_id> next()
        {
            const std::optional<voter_set> changed = nextVoters(situation);
            return changed ? changed->voters : situation.current.voters;
        }

        voter_situation situation { { { replicaOf("a"), replicaOf("b"), replicaOf("c") } }, {}, {}, 3 };
    };

    /** Five replicas of which three are seeds; the others are found through them. */
    class seeded_cluster_fixture {
    protected:
        seeded_cluster_fixture()
        {
            options.largestVoterCount = 5;
            cluster.options = options;
            cluster.adjust = [this](vm_settings& settings) {
                std::vector<vm_record> known;
                for (const vm_record& vm : settings.vms) {
                    if (seeds.contains(vm.id) || vm.id == settings.self.id)
                        known.push_back(vm);
                }
                settings.vms = known;
                settings.membership = membership_mode::Seeded;
                settings.mayBootstrapLog = founding && seeds.contains(settings.self.id);
            };
        }

        consensus_options options;
        std::set<vm_id> seeds { vm_id("vm1"), vm_id("vm2"), vm_id("vm3") };
        bool founding = true;
        consensus_cluster cluster { 7, 5 };
    };

} // namespace

TEST_CASE_METHOD(voter_changes_fixture, "voter_changes.replica_beside_full_and_living_voters.waits")
{
    situation.upToDate = { replicaOf("a"), replicaOf("d") };
    REQUIRE_FALSE(nextVoters(situation));
}

TEST_CASE_METHOD(voter_changes_fixture, "voter_changes.silent_voter.gives_its_place_to_a_waiting_replica")
{
    situation.upToDate = { replicaOf("a"), replicaOf("b"), replicaOf("d") };
    situation.silent = { replicaOf("c") };
    situation.current.voters = next();
    REQUIRE(situation.current.voters == std::set<replica_id> { replicaOf("a"), replicaOf("b") });
    REQUIRE(next() == std::set<replica_id> { replicaOf("a"), replicaOf("b"), replicaOf("d") });
}

TEST_CASE_METHOD(voter_changes_fixture, "voter_changes.silent_voter_without_a_waiting_replica.stays")
{
    situation.upToDate = { replicaOf("a"), replicaOf("b") };
    situation.silent = { replicaOf("c") };
    REQUIRE_FALSE(nextVoters(situation));
}

TEST_CASE_METHOD(voter_changes_fixture, "voter_changes.lost_disk.goes_before_anything_else")
{
    situation.upToDate = { replicaOf("c", 2), replicaOf("d") };
    situation.silent = { replicaOf("b") };
    REQUIRE(next() == std::set<replica_id> { replicaOf("a"), replicaOf("b") });
}

TEST_CASE_METHOD(seeded_cluster_fixture, "seeded_log.three_seeds.found_it_and_all_others_join")
{
    cluster.startAll();
    REQUIRE(cluster.waitForLeader());
    REQUIRE(cluster.until([this] { return cluster.voterCount(7) == 5; }));
}

TEST_CASE_METHOD(seeded_cluster_fixture, "seeded_log.no_founding.never_begins_a_log")
{
    founding = false;
    cluster.startAll();
    REQUIRE_FALSE(cluster.until([this] { return !cluster.allLeaders().empty(); }, 20s));
}

TEST_CASE_METHOD(seeded_cluster_fixture, "seeded_log.replica_that_is_no_seed.founds_nothing_alone")
{
    REQUIRE(cluster.start(4).ok());
    REQUIRE_FALSE(cluster.until([this] { return !cluster.allLeaders().empty(); }, 20s));
}

TEST_CASE_METHOD(seeded_cluster_fixture, "seeded_log.learner_whose_leader_died.finds_the_next_one")
{
    cluster.startAll();
    REQUIRE(cluster.waitForLeader());
    REQUIRE(cluster.until([this] { return cluster.voterCount(7) == 5; }));
    cluster.kill(cluster.allLeaders().front());
    REQUIRE(cluster.waitForLeader());
    cluster.propose(cluster.allLeaders().front(), 1);
    REQUIRE(cluster.until([this] { return cluster.vm(7).control->numbers().size() == 1; }, 5s));
}

TEST_CASE_METHOD(seeded_cluster_fixture, "seeded_log.dead_replica_replaced_at_another_address.loses_its_vote")
{
    for (int number : { 1, 2, 3, 4, 6, 7 })
        REQUIRE(cluster.start(number).ok());
    REQUIRE(cluster.waitForLeader());
    REQUIRE(cluster.until([this] { return cluster.voterCount(7) == 4; }));
    options.largestVoterCount = 4;
    cluster.kill(1);
    REQUIRE(cluster.until([this] { return !cluster.allLeaders().empty(); }));
    REQUIRE(cluster.start(5).ok());
    REQUIRE(cluster.until([this] { return cluster.voterCount(7) == 5; }, 20s));
}

TEST_CASE_METHOD(seeded_cluster_fixture, "catch_up.leader_s_word_without_the_entries.is_not_enough")
{
    cluster.startAll();
    REQUIRE(cluster.waitForLeader());
    REQUIRE(cluster.until([this] { return cluster.voterCount(7) == 5; }));
    const int leader = cluster.allLeaders().front();
    // A learner that hears everything but the entries.
    cluster.network.drops = [](const vm_id&, const vm_id& to, const peer_message& message) {
        const auto* consensus = std::get_if<consensus_message>(&message);
        const auto* append = consensus == nullptr ? nullptr : std::get_if<append_request>(consensus);
        return to == vm_id("vm7") && append != nullptr && !append->entries.empty();
    };
    cluster.propose(leader, 1);
    REQUIRE(cluster.until([&] { return cluster.vm(leader).control->numbers().size() == 1; }));
    std::size_t seen = 0;
    bool told = false;
    cluster.vm(7).port->readBarrier(20s, [&](const absl::Status& status) {
        told = status.ok();
        seen = cluster.vm(7).control->numbers().size();
    });
    REQUIRE_FALSE(cluster.until([&] { return told; }, 2s));
    cluster.network.drops = nullptr;
    REQUIRE(cluster.until([&] { return told; }, 8s));
    REQUIRE(seen == 1);
}

} // namespace plantainlatch
