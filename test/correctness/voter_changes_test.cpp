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
            const std::optional<voter_set> changed = nextVoters(input);
            return changed ? changed->voters : input.current.voters;
        }

        voter_change_input input { { { replicaOf("a"), replicaOf("b"), replicaOf("c") } }, {}, {}, 3 };
    };

    /** Five replicas and two learners. Each VM knows the three seeds and itself, and finds the others through the
     * seeds. */
    class seeded_cluster_fixture {
    protected:
        seeded_cluster_fixture()
        {
            options.maximumVoterCount = 5;
            cluster.options = options;
            cluster.adjustSettings = [this](vm_settings& settings) {
                std::vector<vm_record> known;
                for (const vm_record& vm : settings.vms) {
                    if (seeds.contains(vm.id) || vm.id == settings.self.id)
                        known.push_back(vm);
                }
                settings.vms = known;
                settings.membership = membership_mode::Seeded;
                settings.mayBootstrapLog = mayBootstrap && seeds.contains(settings.self.id);
            };
        }

        consensus_options options;
        std::set<vm_id> seeds { vm_id("vm1"), vm_id("vm2"), vm_id("vm3") };
        bool mayBootstrap = true;
        consensus_cluster cluster { 7, 5 };
    };

} // namespace

TEST_CASE_METHOD(voter_changes_fixture, "voter_changes.further_replica_at_the_maximum_of_live_voters.is_not_added")
{
    input.upToDate = { replicaOf("a"), replicaOf("d") };
    REQUIRE_FALSE(nextVoters(input));
}

TEST_CASE_METHOD(voter_changes_fixture, "voter_changes.silent_voter.is_replaced_by_an_up_to_date_replica")
{
    input.upToDate = { replicaOf("a"), replicaOf("b"), replicaOf("d") };
    input.silent = { replicaOf("c") };
    input.current.voters = next();
    REQUIRE(input.current.voters
        == std::set<replica_id> { replicaOf("a"), replicaOf("b"), replicaOf("c"), replicaOf("d") });
    input.current.voters = next();
    REQUIRE(input.current.voters == std::set<replica_id> { replicaOf("a"), replicaOf("b"), replicaOf("d") });
    REQUIRE(next() == input.current.voters);
}

TEST_CASE_METHOD(voter_changes_fixture, "voter_changes.silent_voter_that_answers_again_while_replaced.stays")
{
    input.current.voters.insert(replicaOf("d"));
    input.upToDate = { replicaOf("a"), replicaOf("b"), replicaOf("c"), replicaOf("d"), replicaOf("e") };
    REQUIRE(next() == input.current.voters);
}

TEST_CASE_METHOD(voter_changes_fixture, "voter_changes.silent_voter_without_a_replacement.stays")
{
    input.upToDate = { replicaOf("a"), replicaOf("b") };
    input.silent = { replicaOf("c") };
    REQUIRE_FALSE(nextVoters(input));
}

TEST_CASE_METHOD(voter_changes_fixture, "voter_changes.lost_disk.is_removed_first")
{
    input.upToDate = { replicaOf("c", 2), replicaOf("d") };
    input.silent = { replicaOf("b") };
    REQUIRE(next() == std::set<replica_id> { replicaOf("a"), replicaOf("b") });
}

TEST_CASE_METHOD(seeded_cluster_fixture, "seeded_log.three_seeds.bootstrap_it_and_all_others_join")
{
    cluster.startAll();
    REQUIRE(cluster.waitForLeader());
    REQUIRE(cluster.until([this] { return cluster.voterCount(7) == 5; }));
}

TEST_CASE_METHOD(seeded_cluster_fixture, "seeded_log.without_bootstrap_permission.has_no_leader")
{
    mayBootstrap = false;
    cluster.startAll();
    REQUIRE_FALSE(cluster.until([this] { return !cluster.allLeaders().empty(); }, 20s));
}

TEST_CASE_METHOD(seeded_cluster_fixture, "seeded_log.replica_that_is_not_a_seed.does_not_bootstrap_alone")
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
    options.maximumVoterCount = 4;
    cluster.kill(1);
    REQUIRE(cluster.until([this] { return !cluster.allLeaders().empty(); }));
    REQUIRE(cluster.start(5).ok());
    REQUIRE(cluster.until([this] { return cluster.voterCount(7) == 5; }, 20s));
}

TEST_CASE_METHOD(seeded_cluster_fixture, "read_barrier.answered_by_the_leader_without_local_entries.does_not_complete")
{
    cluster.startAll();
    REQUIRE(cluster.waitForLeader());
    REQUIRE(cluster.until([this] { return cluster.voterCount(7) == 5; }));
    const int leader = cluster.allLeaders().front();
    // The learner vm7 receives all messages except those with entries.
    cluster.network.drops = [](const vm_id&, const vm_id& to, const peer_message& message) {
        const auto* consensus = std::get_if<consensus_message>(&message);
        const auto* append = consensus == nullptr ? nullptr : std::get_if<append_request>(consensus);
        return to == vm_id("vm7") && append != nullptr && !append->entries.empty();
    };
    cluster.propose(leader, 1);
    REQUIRE(cluster.until([&] { return cluster.vm(leader).control->numbers().size() == 1; }));
    std::size_t appliedAtCompletion = 0;
    bool completed = false;
    cluster.vm(7).port->readBarrier(20s, [&](const absl::Status& status) {
        completed = status.ok();
        appliedAtCompletion = cluster.vm(7).control->numbers().size();
    });
    REQUIRE_FALSE(cluster.until([&] { return completed; }, 2s));
    cluster.network.drops = nullptr;
    REQUIRE(cluster.until([&] { return completed; }, 8s));
    REQUIRE(appliedAtCompletion == 1);
}

} // namespace plantainlatch
