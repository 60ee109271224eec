#include <catch2/catch.hpp>

#include "decision/control/apply_directory.h"
#include "decision/directory/directory_service.h"
#include "support/control_cluster.h"
#include "support/control_fixture.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    class directory_fixture {
    protected:
        directory_fixture()
            : cluster(3, 3, {}, [this](control_cluster& owner, cluster_vm& vm) {
                services.push_back(*directory_service::create(owner.runtime.hooks(), vm.settings));
                vm.root->add(services.back()->asService());
            })
        {
            cluster.apply(apply_declaration { threeRegionDeclaration() });
            cluster.runtime.advance(6s);
        }

        directory_port& port(const std::string& vm) { return cluster.vm(vm).port<directory_port>("directory"); }

        absl::StatusCode announce(const std::string& vm, const upstream_announcement& offered)
        {
            absl::StatusCode code = absl::StatusCode::kUnknown;
            port(vm).announce(offered, [&](const absl::Status& status) { code = status.code(); });
            cluster.runtime.advance(300ms);
            return code;
        }

        absl::StatusCode leaveWithoutGeneration(const std::string& vm)
        {
            absl::StatusCode code = absl::StatusCode::kUnknown;
            port(vm).leave(
                first.id, std::nullopt, isAwaited, [&](const absl::Status& status) { code = status.code(); });
            cluster.runtime.advance(300ms);
            return code;
        }

        void renewFor(const std::string& vm, const upstream_announcement& offered, duration span)
        {
            for (duration passed {}; passed < span; passed += 1s) {
                announce(vm, offered);
                cluster.runtime.advance(700ms);
            }
        }

        bool isKnown(const std::string& id) { return cluster.vm("a").state().directory.contains(upstream_id(id)); }

        const caller_check isAwaited = [] { return true; };
        std::vector<std::unique_ptr<directory_service>> services;
        control_cluster cluster;
        upstream_announcement first = bookingUpstream("u1", 9001);
    };

} // namespace

TEST_CASE_METHOD(directory_fixture, "directory.announcement_to_any_entry.joins_and_stays_while_renewed")
{
    REQUIRE(announce("c", first) == absl::StatusCode::kOk);
    renewFor("c", first, 15s);
    REQUIRE(isKnown("u1"));
    const auto seen = cluster.vm("a").port<liveness_port>("liveness").lastSeen(upstream_id("u1"));
    REQUIRE(cluster.runtime.now() - *seen < 2s);
}

TEST_CASE_METHOD(directory_fixture, "directory.upstream_without_renewals.counts_as_expired_and_is_then_removed")
{
    renewFor("c", first, 3s);
    cluster.runtime.advance(4s);
    const auto seen = cluster.vm("a").port<liveness_port>("liveness").lastSeen(upstream_id("u1"));
    REQUIRE(cluster.runtime.now() - *seen > 3s);
    cluster.runtime.advance(8s);
    REQUIRE_FALSE(isKnown("u1"));
}

TEST_CASE_METHOD(directory_fixture, "directory.new_allocator.counts_upstreams_as_seen_when_its_role_began")
{
    renewFor("c", first, 3s);
    cluster.cut("a");
    cluster.setLeader("b");
    for (int i = 0; i < 80; ++i) {
        cluster.runtime.advance(100ms);
        auto& membership = cluster.vm("b").port<membership_port>(port_names::membership);
        if (membership.allocatorLeaseEnd(region_id("fukuoka")).has_value())
            break;
    }
    const auto seen = cluster.vm("b").port<liveness_port>("liveness").lastSeen(upstream_id("u1"));
    REQUIRE(seen.has_value());
    REQUIRE(cluster.runtime.now() - *seen < 1s);
}

TEST_CASE_METHOD(directory_fixture, "directory.deregistration.ends_the_generation_for_good")
{
    announce("b", first);
    port("c").leave(first.id, first.generation, isAwaited, [](const absl::Status&) {});
    cluster.runtime.advance(300ms);
    REQUIRE_FALSE(isKnown("u1"));
    REQUIRE(announce("b", first) == absl::StatusCode::kPermissionDenied);
    first.generation = upstream_generation(2);
    REQUIRE(announce("b", first) == absl::StatusCode::kOk);
    port("c").leave(first.id, upstream_generation(1), isAwaited, [](const absl::Status&) {});
    cluster.runtime.advance(300ms);
    REQUIRE(isKnown("u1"));
}

TEST_CASE_METHOD(directory_fixture, "directory.late_announcement_of_an_earlier_generation.is_refused")
{
    first.generation = upstream_generation(2);
    announce("b", first);
    first.generation = upstream_generation(1);
    REQUIRE(announce("c", first) == absl::StatusCode::kPermissionDenied);
}

TEST_CASE_METHOD(directory_fixture, "directory.announcements_with_a_wrong_region_slots_or_address.are_refused")
{
    upstream_announcement wrong = first;
    wrong.region = region_id("kumamoto");
    REQUIRE(announce("a", wrong) == absl::StatusCode::kInvalidArgument);
    wrong = first;
    wrong.slots = slot_count(7);
    REQUIRE(announce("a", wrong) == absl::StatusCode::kInvalidArgument);
    REQUIRE(announce("a", first) == absl::StatusCode::kOk);
    REQUIRE(announce("b", bookingUpstream("u2", 9001)) == absl::StatusCode::kUnavailable);
}

TEST_CASE_METHOD(directory_fixture, "directory.undeclared_service_or_failure_domain.is_refused_as_unavailable")
{
    upstream_announcement early = first;
    early.failureDomain = failure_domain_id("not-yet");
    REQUIRE(announce("a", early) == absl::StatusCode::kUnavailable);
    early = first;
    early.service = service_id("not-yet");
    REQUIRE(announce("a", early) == absl::StatusCode::kUnavailable);
}

TEST_CASE_METHOD(directory_fixture, "directory.upstream_at_the_address_of_an_expired_one.joins_once_that_is_removed")
{
    announce("a", first);
    renewFor("b", bookingUpstream("u2", 9001), 14s);
    REQUIRE(isKnown("u2"));
    REQUIRE_FALSE(isKnown("u1"));
}

TEST_CASE_METHOD(directory_fixture, "directory.flapping_upstream.is_damped_and_accepted_again_later")
{
    int joined = 0;
    for (std::uint64_t generation = 1; generation <= 20; ++generation) {
        first.generation = upstream_generation(generation);
        if (announce("b", first) == absl::StatusCode::kOk)
            ++joined;
    }
    REQUIRE(joined <= 5);
    cluster.runtime.advance(flapResetTime);
    REQUIRE(announce("b", first) == absl::StatusCode::kOk);
}

TEST_CASE_METHOD(directory_fixture, "directory.withdrawn_upstream.is_removed_and_refused")
{
    announce("a", first);
    declaration content;
    content.number = change_number(2);
    content.replaces = change_number(1);
    content.upstreams.withdrawn = { { { first.id, {}, {}, {} }, {} } };
    REQUIRE(cluster.apply(apply_declaration { content }).verdict == command_verdict::Accepted);
    REQUIRE_FALSE(isKnown("u1"));
    cluster.runtime.advance(1s);
    REQUIRE(announce("c", first) == absl::StatusCode::kPermissionDenied);
}

// Guards against a leave that is acknowledged without effect by a VM that has not applied the join, as after a restart.
TEST_CASE_METHOD(directory_fixture, "directory.leave_without_generation_on_a_vm_that_is_behind.ends_the_registered_one")
{
    for (const bool waits : { true, false }) {
        first.generation = upstream_generation(waits ? 7 : 8);
        cluster.apply(upstream_joined { first });
        absl::StatusCode leaveStatus = absl::StatusCode::kUnknown;
        port("c").leave(
            first.id, std::nullopt, [waits] { return waits; },
            [&](const absl::Status& status) { leaveStatus = status.code(); });
        cluster.runtime.advance(300ms);
        REQUIRE(leaveStatus == (waits ? absl::StatusCode::kOk : absl::StatusCode::kUnavailable));
        REQUIRE(isKnown("u1") == !waits);
    }
}

// Guards against a leave that is acknowledged and not recorded, after which a late announcement registers the upstream.
TEST_CASE_METHOD(
    directory_fixture, "directory.leave_without_generation_after_expiration.keeps_out_the_generation_that_expired")
{
    REQUIRE(announce("b", first) == absl::StatusCode::kOk);
    cluster.runtime.advance(14s);
    REQUIRE_FALSE(isKnown("u1"));
    REQUIRE(leaveWithoutGeneration("c") == absl::StatusCode::kOk);
    REQUIRE(announce("b", first) == absl::StatusCode::kPermissionDenied);
    REQUIRE_FALSE(isKnown("u1"));
    first.generation = first.generation.next();
    REQUIRE(announce("b", first) == absl::StatusCode::kOk);
}

// Guards against the same for an upstream whose announcements are all late, so that its generation is not known yet.
TEST_CASE_METHOD(directory_fixture, "directory.leave_without_generation_of_an_unknown_upstream.is_not_acknowledged")
{
    REQUIRE(leaveWithoutGeneration("c") == absl::StatusCode::kUnavailable);
    REQUIRE(announce("b", first) == absl::StatusCode::kOk);
    REQUIRE(leaveWithoutGeneration("c") == absl::StatusCode::kOk);
    REQUIRE(announce("b", first) == absl::StatusCode::kPermissionDenied);
}

TEST_CASE_METHOD(directory_fixture, "directory.leave_without_generation_and_without_a_leader.is_not_acknowledged")
{
    announce("b", first);
    cluster.cut("c");
    absl::StatusCode leaveStatus = absl::StatusCode::kUnknown;
    port("c").leave(
        first.id, std::nullopt, isAwaited, [&](const absl::Status& status) { leaveStatus = status.code(); });
    cluster.runtime.advance(10s);
    REQUIRE(leaveStatus == absl::StatusCode::kUnavailable);
}

TEST_CASE_METHOD(directory_fixture, "directory.deregistration_that_overtakes_its_join.keeps_the_upstream_out")
{
    absl::StatusCode leaveStatus = absl::StatusCode::kUnknown;
    port("b").leave(
        first.id, first.generation, isAwaited, [&](const absl::Status& status) { leaveStatus = status.code(); });
    cluster.runtime.advance(300ms);
    REQUIRE(leaveStatus == absl::StatusCode::kOk);
    REQUIRE(announce("c", first) == absl::StatusCode::kPermissionDenied);
    REQUIRE_FALSE(isKnown("u1"));
    first.generation = first.generation.next();
    REQUIRE(announce("c", first) == absl::StatusCode::kOk);
}

TEST_CASE_METHOD(
    directory_fixture, "directory.renewal_at_a_vm_without_leader_contact.is_refused_and_another_vm_accepts_it")
{
    REQUIRE(announce("c", first) == absl::StatusCode::kOk);
    cluster.cut("c");
    cluster.runtime.advance(2s);
    REQUIRE(announce("c", first) == absl::StatusCode::kUnavailable);
    REQUIRE(announce("b", first) == absl::StatusCode::kOk);
    cluster.heal("c");
    cluster.runtime.advance(2s);
    REQUIRE(announce("c", first) == absl::StatusCode::kOk);
}

TEST_CASE_METHOD(directory_fixture, "directory.upstream_that_joins_again_after_removal.counts_as_seen_when_it_joined")
{
    renewFor("c", first, 3s);
    cluster.runtime.advance(14s);
    REQUIRE_FALSE(isKnown("u1"));
    // The allocator learns of the join through the log only: the VM that the upstream reached could not forward the
    // announcement to it.
    cluster.apply(upstream_joined { first });
    cluster.runtime.advance(5s);
    REQUIRE(isKnown("u1"));
}

} // namespace plantainlatch
