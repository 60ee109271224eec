#include <catch2/catch.hpp>

#include "support/consensus_fixture.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    class catch_up_fixture {
    protected:
        void begin(consensus_mechanisms mechanisms = {})
        {
            consensus_options options;
            options.snapshotEvery = 100;
            options.trailingEntries = 20;
            options.mechanisms = mechanisms;
            cluster = std::make_unique<consensus_cluster>(4, 3, 11, options);
            cluster->network.onSend = [this](const vm_id&, const vm_id&, const peer_message& message) {
                const auto* item = std::get_if<consensus_message>(&message);
                snapshots += item != nullptr && std::holds_alternative<snapshot_request>(*item) ? 1 : 0;
            };
            cluster->startAll();
            REQUIRE(cluster->waitForLeader());
        }

        void proposeRange(std::uint64_t from, std::uint64_t to, int through)
        {
            for (std::uint64_t i = from; i <= to; ++i) {
                cluster->propose(through, i, 20s);
                cluster->advance(3ms);
            }
            REQUIRE(cluster->until([&] { return cluster->results.contains(to); }));
        }

        /** A replica and a learner are down while 500 changes are committed, and are then restarted. */
        void commitWhileTwoVmsAreDown()
        {
            const int killed = cluster->leader() % 3 + 1;
            cluster->kill(killed);
            cluster->kill(4);
            proposeRange(1, 500, cluster->leader());
            snapshots = 0;
            REQUIRE(cluster->start(killed).ok());
            REQUIRE(cluster->start(4).ok());
        }

        std::unique_ptr<consensus_cluster> cluster;
        int snapshots = 0;
    };

} // namespace

TEST_CASE_METHOD(catch_up_fixture, "vm.that_missed_500_changes.catches_up_by_a_snapshot")
{
    begin();
    commitWhileTwoVmsAreDown();
    REQUIRE(cluster->until([&] { return cluster->allApplied(500); }, 5s));
    REQUIRE(snapshots >= 2);
    proposeRange(501, 510, 4);
    REQUIRE(cluster->until([&] { return cluster->allApplied(510); }, 5s));
}

TEST_CASE_METHOD(catch_up_fixture, "vm.that_missed_500_changes.stays_behind_without_snapshots")
{
    consensus_mechanisms mechanisms;
    mechanisms.snapshotCatchUp = false;
    begin(mechanisms);
    commitWhileTwoVmsAreDown();
    REQUIRE_FALSE(cluster->until([&] { return cluster->allApplied(500); }, 5s));
}

TEST_CASE_METHOD(catch_up_fixture, "replicas.restarted_after_compaction.restore_their_snapshots")
{
    begin();
    proposeRange(1, 250, 1);
    for (int i = 1; i <= 4; ++i)
        cluster->kill(i);
    REQUIRE(cluster->vm(1).disk->content().snapshot.has_value());
    REQUIRE(cluster->vm(1).disk->content().entries.size() < 150);
    cluster->startAll();
    REQUIRE(cluster->waitForLeader());
    REQUIRE(cluster->until([&] { return cluster->allApplied(250); }));
}

TEST_CASE_METHOD(
    catch_up_fixture, "learner_outside_the_settings.after_a_restart_of_all.is_found_in_the_applied_entries")
{
    begin();
    cluster->vm(4).port->propose(vm_started { cluster->vm(4).record, incarnation(1) }, 5s, [](const auto&) {});
    proposeRange(1, 3, cluster->leader());
    for (int i = 1; i <= 4; ++i)
        cluster->kill(i);
    cluster->adjustSettings = [](vm_settings& settings) {
        if (settings.self.replica)
            settings.vms.pop_back();
    };
    // The learner asks once, before there is a leader.
    cluster->options.joinInterval = std::chrono::hours(1);
    cluster->startAll();
    REQUIRE(cluster->waitForLeader());
    REQUIRE(cluster->until([&] { return cluster->allApplied(3); }, 2s));
}

TEST_CASE_METHOD(catch_up_fixture, "learners_restarted_together.get_a_limited_number_of_snapshots_at_once")
{
    constexpr int vms = 43;
    consensus_options options;
    options.snapshotEvery = 100;
    options.trailingEntries = 20;
    options.maximumSnapshotsInFlight = 4;
    cluster = std::make_unique<consensus_cluster>(vms, 3, 11, options);
    cluster->network.onSend = [this](const vm_id&, const vm_id&, const peer_message& message) {
        const auto* item = std::get_if<consensus_message>(&message);
        snapshots += item != nullptr && std::holds_alternative<snapshot_request>(*item) ? 1 : 0;
    };
    cluster->startAll();
    REQUIRE(cluster->waitForLeader());
    proposeRange(1, 250, cluster->leader());
    for (int i = 4; i <= vms; ++i)
        cluster->kill(i);
    cluster->advance(2s);
    snapshots = 0;
    cluster->network.delay = [](const vm_id&, const vm_id&) { return 50ms; };
    for (int i = 4; i <= vms; ++i)
        REQUIRE(cluster->start(i).ok());
    // From the first snapshot until its answer can have arrived.
    REQUIRE(cluster->until([&] { return snapshots > 0; }));
    cluster->advance(90ms);
    REQUIRE(snapshots == 4);
    REQUIRE(cluster->until([&] { return cluster->allApplied(250); }));
}

TEST_CASE_METHOD(catch_up_fixture, "proposal.whose_leader_dies.is_resent_and_applied_once")
{
    begin();
    const int first = cluster->leader();
    cluster->propose(4, 1, 10s);
    cluster->advance(1ms);
    cluster->kill(first);
    REQUIRE(cluster->until([&] { return cluster->results.contains(1); }));
    REQUIRE(cluster->results.at(1).ok());
    cluster->advance(5s);
    REQUIRE(cluster->vm(4).control->numbers() == std::vector<std::uint64_t> { 1 });
}

TEST_CASE_METHOD(catch_up_fixture, "proposal.not_resent.gets_no_answer")
{
    consensus_mechanisms mechanisms;
    mechanisms.resendProposals = false;
    begin(mechanisms);
    const int first = cluster->leader();
    cluster->propose(4, 1, 10s);
    cluster->kill(first);
    REQUIRE(cluster->until([&] { return cluster->results.contains(1); }));
    REQUIRE(cluster->results.at(1).status().code() == absl::StatusCode::kDeadlineExceeded);
}

TEST_CASE_METHOD(catch_up_fixture, "proposal.resent_after_it_was_applied.is_answered_without_another_entry")
{
    begin();
    const int leader = cluster->leader();
    cluster->network.cut(cluster->name(leader), cluster->name(4));
    const std::uint64_t before = cluster->vm(leader).port->applied().value();
    cluster->propose(4, 1, 10s);
    cluster->advance(5s);
    REQUIRE(cluster->vm(leader).port->applied().value() == before + 1);
    cluster->network.healAll();
    REQUIRE(cluster->until([&] { return cluster->results.contains(1) && cluster->results.at(1).ok(); }));
    REQUIRE(cluster->vm(leader).port->applied().value() == before + 1);
}

TEST_CASE_METHOD(catch_up_fixture, "proposals.duplicated_and_delayed.are_applied_once")
{
    begin();
    cluster->network.faults = { 100, 500, 300, 3s };
    proposeRange(1, 100, 4);
    cluster->network.faults = {};
    cluster->advance(5s);
    REQUIRE(cluster->until([&] { return cluster->results.size() == 100; }));
    REQUIRE(cluster->vm(4).control->numbers().size() == 100);
}

TEST_CASE_METHOD(catch_up_fixture, "proposal.without_any_leader.fails_as_never_applied")
{
    begin();
    cluster->network.isolate(cluster->name(4));
    cluster->kill(1);
    cluster->kill(2);
    cluster->kill(3);
    cluster->kill(4);
    REQUIRE(cluster->start(4).ok());
    cluster->propose(4, 1, 2s);
    REQUIRE(cluster->until([&] { return cluster->results.contains(1); }));
    REQUIRE(cluster->results.at(1).status().code() == absl::StatusCode::kUnavailable);
}

} // namespace plantainlatch
