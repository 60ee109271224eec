#include <algorithm>
#include <map>
#include <optional>
#include <set>

#include <catch2/catch.hpp>

#include "decision/placement/placement_service.h"
#include "decision/placement/return_time.h"
#include "ports/port_names.h"
#include "support/control_fixture.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    constexpr int objects = 2000;

    upstream_announcement makeUpstream(const std::string& id, const std::string& region, std::uint64_t slots = 6)
    {
        upstream_announcement upstream;
        upstream.id = upstream_id(id);
        upstream.generation = upstream_generation(1);
        upstream.service = service_id("booking");
        upstream.address = { "127.0.0.1", static_cast<std::uint16_t>(9000 + std::hash<std::string>()(id) % 1000) };
        upstream.region = region_id(region);
        upstream.failureDomain = failure_domain_id(region + "-1");
        upstream.slots = slot_count(slots);
        return upstream;
    }

    std::vector<upstream_announcement> manyUpstreams(int local, int far)
    {
        std::vector<upstream_announcement> upstreams;
        upstreams.reserve(static_cast<std::size_t>(local) + static_cast<std::size_t>(far));
        for (int i = 0; i < local; ++i)
            upstreams.push_back(makeUpstream("local" + std::to_string(i), "here"));
        for (int i = 0; i < far; ++i)
            upstreams.push_back(makeUpstream("far" + std::to_string(i), "there"));
        return upstreams;
    }

    const std::map<region_id, double> evenDemand { { region_id("here"), 0.5 }, { region_id("there"), 0.5 } };

    affinity_order makeOrder(const std::vector<upstream_announcement>& upstreams)
    {
        affinity_order order(region_id("here"), evenDemand);
        for (const upstream_announcement& upstream : upstreams)
            order.put(upstream);
        return order;
    }

    upstream_announcement homeOf(const affinity_order& order, int object)
    {
        return *order.walk(objectHash(std::to_string(object))).next();
    }

    std::vector<upstream_id> walkAll(const affinity_order& order, std::uint64_t object)
    {
        std::vector<upstream_id> visited;
        affinity_walk walk = order.walk(object);
        while (const upstream_announcement* upstream = walk.next())
            visited.push_back(upstream->id);
        return visited;
    }

    /** An entry in region "here" with a control state that the test fills; no requests are sent to upstreams. */
    class placement_fixture {
    protected:
        placement_fixture()
        {
            settings.self.id = vm_id("e1");
            settings.self.region = region_id("here");
            control.state = [this]() -> const control_snapshot& { return state; };
            control.onSteeringChange
                = [this](std::function<void(const steering_change&)> listener) { notify = std::move(listener); };
            upstreams.closeIdleConnections
                = [this](const network_address& address) { addressesWithClosedConnections.insert(address); };
            state.config.services[service_id("booking")].coldTime = 3s;
            state.config.services[service_id("booking")].coldRate = 2;
            for (const char* region : { "here", "there" }) {
                region_definition& definition = state.config.regions[region_id(region)];
                definition.failureDomains = { failure_domain_id(std::string(region) + "-1") };
            }
            addEntry("e1");
        }

        void addEntry(const std::string& id)
        {
            vm_record record;
            record.id = vm_id(id);
            state.vms[record.id].record = record;
        }

        void add(const upstream_announcement& upstream) { state.directory[upstream.id] = { upstream, {} }; }

        void changed() { notify({}); }

        void start()
        {
            options.cold = { 1.5, 1 };
            subject = *placement_service::create(runtime.hooks(), settings, options);
            core = *kernel::create(runtime.hooks());
            service fakeControl;
            fakeControl.name = port_names::control;
            fakeControl.start = [this](registry& services) { return services.publish(port_names::control, control); };
            service fakeUpstreams;
            fakeUpstreams.name = port_names::upstreams;
            fakeUpstreams.start
                = [this](registry& services) { return services.publish(port_names::upstreams, upstreams); };
            core->add(fakeControl);
            core->add(fakeUpstreams);
            core->add(subject->asService());
            REQUIRE(core->start().ok());
            slots = *core->services().find<slot_port>(port_names::slots);
        }

        void releaseWithRetryAfter(const slot_answer& placed, duration pause)
        {
            answer_metadata metadata;
            metadata.notRun = true;
            metadata.retryAfter = pause;
            release(placed, slot_result::kind::Shed, 5ms, metadata);
        }

        slot_answer place(const std::string& object, duration remaining = 3s, std::vector<upstream_id> avoid = {})
        {
            slot_request request;
            request.service = service_id("booking");
            request.deadline = runtime.now() + remaining;
            request.avoid = std::move(avoid);
            request.policy.route = route_id("r");
            request.policy.object = object;
            request.policy.targetLatency = 600ms;
            request.policy.allowedRegions = allowed;
            request.bodySize = bodySize;
            request.onRevoked = [this] { ++revoked; };
            slot_answer result;
            slots->acquire(request, [&](const slot_answer& answer) { result = answer; });
            return result;
        }

        std::string placedAt(const std::string& object, duration remaining = 3s)
        {
            const slot_answer answer = place(object, remaining);
            return answer.slot ? answer.slot->upstream.id.value() : "";
        }

        void release(const slot_answer& placed, slot_result::kind ended, duration latency = 200ms,
            const answer_metadata& metadata = {})
        {
            slot_result result;
            result.ended = ended;
            result.latency = latency;
            result.metadata = metadata;
            slots->release(placed.slot->handle, result);
        }

        /** A number at the top level of the service's state dump; none if it is missing. */
        std::optional<std::int64_t> dumped(const std::string& name) const
        {
            for (const state_dump& item : subject->asService().dump().children) {
                if (item.name == name)
                    return std::get<std::int64_t>(item.value);
            }
            return std::nullopt;
        }

        void releaseAsDraining(const slot_answer& placed, slot_result::kind ended = slot_result::kind::Answered)
        {
            answer_metadata metadata;
            metadata.draining = true;
            release(placed, ended, 200ms, metadata);
        }

        paused_runtime runtime { 1 };
        vm_settings settings;
        placement_options options;
        control_snapshot state;
        control_port control;
        upstream_port upstreams;
        std::function<void(const steering_change&)> notify;
        std::set<network_address> addressesWithClosedConnections;
        std::vector<region_id> allowed;
        byte_count bodySize;
        int revoked = 0;
        std::unique_ptr<placement_service> subject;
        std::unique_ptr<kernel> core;
        slot_port* slots = nullptr;
    };

} // namespace

TEST_CASE("affinity_order.upstream_leaves.moves_only_its_own_objects", "[placement]")
{
    const affinity_order before = makeOrder(manyUpstreams(8, 0));
    affinity_order after = before;
    after.remove(upstream_id("local3"));
    for (int i = 0; i < objects; ++i) {
        const upstream_id home = homeOf(before, i).id;
        if (home != upstream_id("local3"))
            REQUIRE(homeOf(after, i).id == home);
    }
}

TEST_CASE("affinity_order.equal_upstreams.get_similar_numbers_of_objects", "[placement]")
{
    const affinity_order order = makeOrder(manyUpstreams(8, 0));
    std::map<upstream_id, int> homes;
    for (int i = 0; i < objects; ++i)
        ++homes[homeOf(order, i).id];
    for (const auto& [id, count] : homes)
        REQUIRE(count == Approx(objects / 8.0).epsilon(0.25));
}

TEST_CASE(
    "affinity_order.region_with_few_slots.is_home_to_the_share_of_objects_that_its_slots_suffice_for", "[placement]")
{
    // The region has a tenth of the slots and half of the requests, so one object in five has a local home.
    const affinity_order order = makeOrder(manyUpstreams(2, 18));
    int local = 0;
    for (int i = 0; i < objects; ++i)
        local += homeOf(order, i).region == region_id("here") ? 1 : 0;
    REQUIRE(local == Approx(objects * 0.2).epsilon(0.15));
}

TEST_CASE("affinity_order.region_without_upstreams.lists_upstreams_of_other_regions", "[placement]")
{
    REQUIRE(walkAll(makeOrder(manyUpstreams(0, 3)), objectHash("x")).size() == 3);
}

TEST_CASE("affinity_order.single_changes.give_the_same_order_as_a_new_computation", "[placement]")
{
    std::vector<upstream_announcement> upstreams = manyUpstreams(6, 9);
    affinity_order changed = makeOrder(upstreams);
    changed.remove(upstreams[2].id);
    upstreams.erase(upstreams.begin() + 2);
    upstreams.push_back(makeUpstream("added", "there", 3));
    changed.put(upstreams.back());
    upstreams[7].slots = slot_count(12);
    changed.put(upstreams[7]);
    const affinity_order computed = makeOrder(upstreams);
    for (int i = 0; i < objects; ++i) {
        const std::uint64_t object = objectHash(std::to_string(i));
        REQUIRE(walkAll(changed, object) == walkAll(computed, object));
    }
}

TEST_CASE("affinity_order.walk.visits_each_upstream_once_and_the_home_region_first", "[placement]")
{
    const affinity_order order = makeOrder(manyUpstreams(5, 5));
    const std::vector<upstream_id> visited = walkAll(order, objectHash("x"));
    REQUIRE(std::set<upstream_id>(visited.begin(), visited.end()).size() == 10);
    for (std::size_t i = 0; i < visited.size(); ++i)
        REQUIRE(visited[i].value().starts_with("local") == (i < 5));
}

TEST_CASE("cold_share.any_number_of_entries.adds_up_to_no_more_than_the_total", "[placement]")
{
    for (const double total : { 0.5, 1.0, 5.1, 9.05, 16.0 }) {
        for (std::size_t count = 1; count <= 30; ++count) {
            std::vector<vm_id> entries;
            entries.reserve(count);
            for (std::size_t i = 0; i < count; ++i)
                entries.emplace_back("e" + std::to_string(i));
            std::size_t sum = 0;
            for (const vm_id& entry : entries)
                sum += coldShare(total, entries, entry, upstream_id("u"));
            REQUIRE(sum == static_cast<std::size_t>(total < 1 ? 0 : total));
        }
    }
}

TEST_CASE_METHOD(placement_fixture, "placement.object.keeps_its_home_while_it_has_free_slots")
{
    for (int i = 0; i < 6; ++i)
        add(makeUpstream("u" + std::to_string(i), "here"));
    start();
    const std::string home = placedAt("court 7");
    for (int i = 0; i < 4; ++i)
        REQUIRE(placedAt("court 7") == home);
}

TEST_CASE_METHOD(placement_fixture, "placement.long_queue_at_home.spills_to_another")
{
    for (int i = 0; i < 3; ++i)
        add(makeUpstream("u" + std::to_string(i), "here", 1));
    start();
    std::set<std::string> used;
    for (int i = 0; i < 8; ++i)
        used.insert(placedAt("court 7"));
    REQUIRE(used.size() > 1);
}

TEST_CASE_METHOD(placement_fixture, "placement.no_answer_expected_in_time.is_refused_at_once")
{
    add(makeUpstream("u", "here", 1));
    start();
    REQUIRE(placedAt("court 7", 50ms).empty());
    REQUIRE(place("court 7", 50ms).refusal == slot_refusal::Overloaded);
}

TEST_CASE_METHOD(placement_fixture, "placement.draining_upstream.gets_no_requests")
{
    upstream_announcement leaving = makeUpstream("u", "here");
    leaving.draining = true;
    add(leaving);
    start();
    const slot_answer got = place("court 7");
    REQUIRE_FALSE(got.slot);
    REQUIRE(got.refusal == slot_refusal::NoUpstream);
}

TEST_CASE_METHOD(placement_fixture, "placement.answer_of_a_draining_upstream.ends_requests_to_it_at_once")
{
    add(makeUpstream("u", "here"));
    add(makeUpstream("v", "here"));
    start();
    const slot_answer first = place("court 7");
    const upstream_id leaving = first.slot->upstream.id;
    releaseAsDraining(first, GENERATE(slot_result::kind::Answered, slot_result::kind::Shed, slot_result::kind::Failed));
    for (int i = 0; i < 20; ++i) {
        const slot_answer placed = place("court " + std::to_string(i));
        REQUIRE(placed.slot);
        REQUIRE(placed.slot->upstream.id != leaving);
        release(placed, slot_result::kind::Answered);
    }
}

TEST_CASE_METHOD(placement_fixture, "placement.last_upstream_answers_that_it_drains.requests_are_refused")
{
    add(makeUpstream("u", "here"));
    start();
    releaseAsDraining(place("court 7"));
    const slot_answer refused = place("court 7");
    REQUIRE_FALSE(refused.slot);
    REQUIRE(refused.refusal == slot_refusal::NoUpstream);
}

TEST_CASE_METHOD(
    placement_fixture, "placement.upstream_that_answered_that_it_drains.is_used_again_only_in_a_later_generation")
{
    upstream_announcement upstream = makeUpstream("u", "here");
    const steering_change change { steering_scope::Upstreams, { upstream.id } };
    add(upstream);
    start();
    releaseAsDraining(place("court 7"));

    // An announcement from before, which arrives late.
    upstream.sequence = 1;
    add(upstream);
    notify(change);
    REQUIRE(placedAt("court 7").empty());

    // Its record expires, and a late announcement adds it again.
    state.directory.clear();
    notify(change);
    add(upstream);
    notify(change);
    REQUIRE(placedAt("court 7").empty());

    // A snapshot replaces the control state.
    changed();
    REQUIRE(placedAt("court 7").empty());

    upstream.generation = upstream_generation(2);
    add(upstream);
    notify(change);
    REQUIRE(placedAt("court 7") == "u");
}

TEST_CASE_METHOD(placement_fixture, "placement.late_answer_of_an_earlier_generation.does_not_drain_the_later_one")
{
    upstream_announcement upstream = makeUpstream("u", "here");
    add(upstream);
    start();
    const slot_answer early = place("court 7");
    upstream.generation = upstream_generation(2);
    add(upstream);
    notify({ steering_scope::Upstreams, { upstream.id } });
    releaseAsDraining(early);
    REQUIRE(placedAt("court 7") == "u");
}

TEST_CASE_METHOD(
    placement_fixture, "placement.answer_of_another_upstream_at_the_address.does_not_drain_the_expected_one")
{
    add(makeUpstream("u", "here"));
    start();
    answer_metadata metadata;
    metadata.wrongInstance = true;
    metadata.notRun = true;
    metadata.draining = true;
    release(place("court 7"), slot_result::kind::Shed, 5ms, metadata);
    runtime.advance(1s);
    REQUIRE(placedAt("court 7") == "u");
}

TEST_CASE_METHOD(placement_fixture, "placement.answer_of_a_draining_upstream.is_logged_and_counted")
{
    add(makeUpstream("u", "here"));
    start();
    const slot_answer first = place("court 7");
    const slot_answer second = place("court 7");
    releaseAsDraining(first);
    releaseAsDraining(second);
    const auto logged = std::count_if(runtime.logLines.begin(), runtime.logLines.end(),
        [](const log_event& line) { return line.what == "upstream-answered-draining"; });
    REQUIRE(logged == 1);
    REQUIRE(dumped("reported_draining") == 1);
}

TEST_CASE("reported_unavailability.too_many_upstreams.forgets_the_earliest_recorded", "[placement]")
{
    constexpr std::size_t limit = 3;
    reported_unavailability subject(limit);
    const upstream_generation generation(1);
    for (int i = 0; i < 5; ++i)
        subject.noteDraining(upstream_id(std::to_string(i)), generation, time_point() + i * 1s);
    REQUIRE(subject.size() == limit);
    REQUIRE_FALSE(subject.isDraining(upstream_id("1"), generation));
    REQUIRE(subject.isDraining(upstream_id("2"), generation));
    REQUIRE(subject.isDraining(upstream_id("4"), generation));
}

TEST_CASE_METHOD(placement_fixture, "placement.refusal_with_retry_after.pauses_requests_to_the_upstream")
{
    add(makeUpstream("u", "here"));
    add(makeUpstream("v", "here"));
    start();
    const slot_answer first = place("court 7");
    const std::string paused = first.slot->upstream.id.value();
    releaseWithRetryAfter(first, 4s);
    // Longer than the interval between the probes of an outlier.
    for (int i = 0; i < 39; ++i) {
        runtime.advance(100ms);
        const slot_answer placed = place("court 7");
        REQUIRE(placed.slot);
        REQUIRE(placed.slot->upstream.id.value() != paused);
        release(placed, slot_result::kind::Answered);
    }
    runtime.advance(100ms);
    REQUIRE(place("court 7", 3s, { upstream_id(paused == "u" ? "v" : "u") }).slot);
}

TEST_CASE_METHOD(placement_fixture, "placement.all_upstreams_pause_requests.refuses_until_the_first_pause_ends")
{
    add(makeUpstream("u", "here"));
    add(makeUpstream("v", "here"));
    add(makeUpstream("w", "here"));
    start();
    const slot_answer first = place("court 7");
    const slot_answer second = place("court 7", 3s, { first.slot->upstream.id });
    const slot_answer third = place("court 7", 3s, { first.slot->upstream.id, second.slot->upstream.id });
    releaseWithRetryAfter(first, 2s);
    releaseWithRetryAfter(second, 500ms);
    releaseAsDraining(third);
    runtime.advance(100ms);
    const slot_answer refused = place("court 7");
    REQUIRE_FALSE(refused.slot);
    REQUIRE(refused.refusal == slot_refusal::Overloaded);
    REQUIRE(refused.retryAfter == duration(400ms));
    runtime.advance(400ms);
    REQUIRE(placedAt("court 7") == second.slot->upstream.id.value());
}

TEST_CASE_METHOD(placement_fixture, "placement.refusal_for_other_reasons.states_no_time")
{
    add(makeUpstream("u", "here"));
    add(makeUpstream("v", "here"));
    start();
    const slot_answer first = place("court 7");
    const slot_answer second = place("court 7", 3s, { first.slot->upstream.id });
    releaseWithRetryAfter(first, 30s);
    release(second, slot_result::kind::Lost);
    const slot_answer refused = place("court 7");
    REQUIRE_FALSE(refused.slot);
    REQUIRE_FALSE(refused.retryAfter);
}

// Load: a burst of requests that are refused in the same moment. Guards against callers that all return at once and are
// refused again, and against times beyond what they wait.
TEST_CASE_METHOD(placement_fixture, "placement.requests_refused_together.return_spread_over_a_third_of_their_time")
{
    add(makeUpstream("u", "here", 1));
    start();
    while (place("court 7", 3s).slot) { }
    std::map<duration, int> returns;
    for (int i = 0; i < 300; ++i) {
        const slot_answer refused = place("court 7", 3s);
        REQUIRE_FALSE(refused.slot);
        REQUIRE(refused.retryAfter);
        REQUIRE(*refused.retryAfter <= 1s);
        ++returns[*refused.retryAfter / 100ms * 100ms];
    }
    for (const auto& [time, count] : returns)
        REQUIRE(count < 75);
}

TEST_CASE("return_time.wait_and_remaining_time.bound_the_times", "[placement]")
{
    const std::uint64_t last = ~0ULL;
    REQUIRE(returnTime(400ms, 6s, 0) == 400ms);
    REQUIRE(returnTime(400ms, 6s, last) <= 2s);
    REQUIRE(returnTime(9s, 6s, 0) == 1500ms);
    REQUIRE(returnTime(-1s, 6s, 0) == 50ms);
    REQUIRE(returnTime(1s, 30ms, last) == 50ms);
}

TEST_CASE_METHOD(placement_fixture, "placement.shorter_retry_after.does_not_end_a_longer_pause")
{
    add(makeUpstream("u", "here"));
    start();
    const slot_answer first = place("court 7");
    const slot_answer second = place("court 7");
    releaseWithRetryAfter(first, 2s);
    releaseWithRetryAfter(second, 100ms);
    runtime.advance(1s);
    REQUIRE(placedAt("court 7").empty());
}

TEST_CASE_METHOD(placement_fixture, "placement.paused_upstream.is_used_again_in_a_later_generation_only")
{
    upstream_announcement upstream = makeUpstream("u", "here");
    const steering_change change { steering_scope::Upstreams, { upstream.id } };
    add(upstream);
    start();
    const slot_answer late = place("court 7");
    releaseWithRetryAfter(place("court 7"), 10s);
    state.directory.clear();
    notify(change);
    add(upstream);
    notify(change);
    changed();
    REQUIRE(placedAt("court 7").empty());
    upstream.generation = upstream_generation(2);
    add(upstream);
    notify(change);
    releaseWithRetryAfter(late, 10s);
    REQUIRE(placedAt("court 7") == "u");
}

TEST_CASE_METHOD(placement_fixture, "placement.pause.is_logged_and_counted_and_named_as_a_reason")
{
    add(makeUpstream("u", "here"));
    start();
    releaseWithRetryAfter(place("court 7"), 1500ms);
    const auto logged = std::find_if(runtime.logLines.begin(), runtime.logLines.end(),
        [](const log_event& line) { return line.what == "upstream-paused"; });
    REQUIRE(logged != runtime.logLines.end());
    REQUIRE(logged->fields.back().name == "pause_ms");
    REQUIRE(logged->fields.back().value == "1500");
    REQUIRE(dumped("pauses") == 1);
    const slot_answer refused = place("court 7");
    const auto reason = std::find_if(
        refused.inputs.begin(), refused.inputs.end(), [](const log_field& field) { return field.name == "left_out"; });
    REQUIRE(reason != refused.inputs.end());
    REQUIRE(reason->value == "ejected 0, outliers 0, cold 0, paused 1");
}

TEST_CASE_METHOD(placement_fixture, "placement.upstream_wants_no_requests.revokes_its_slots_and_no_others")
{
    add(makeUpstream("u", "here"));
    add(makeUpstream("v", "here"));
    start();
    const slot_answer first = place("court 7");
    const slot_answer second = place("court 7", 3s, { first.slot->upstream.id });
    const slot_answer third = place("court 7", 3s, { second.slot->upstream.id });
    if (GENERATE(true, false))
        releaseWithRetryAfter(first, 2s);
    else
        releaseAsDraining(first);
    runtime.advance(0ms);
    REQUIRE(revoked == 1);
    release(second, slot_result::kind::Answered);
    release(third, slot_result::kind::Unused);
}

TEST_CASE_METHOD(placement_fixture, "placement.drained_failure_domain.gets_no_requests_until_the_drain_ends")
{
    add(makeUpstream("u", "here"));
    start();
    REQUIRE(placedAt("court 7") == "u");
    state.drains.insert({ drain_kind::FailureDomain, "here-1" });
    changed();
    REQUIRE(placedAt("court 7").empty());
    state.drains.clear();
    changed();
    REQUIRE(placedAt("court 7") == "u");
}

TEST_CASE_METHOD(placement_fixture, "placement.ended_drain.treats_its_upstreams_as_cold")
{
    add(makeUpstream("u", "here"));
    start();
    state.drains.insert({ drain_kind::FailureDomain, "here-1" });
    changed();
    state.drains.clear();
    changed();
    // The limit is the cold rate of 2 per second times the factor of 1.5, plus the slack of 1.
    int placed = 0;
    for (int i = 0; i < 20; ++i)
        placed += placedAt("court 7", 10s).empty() ? 0 : 1;
    REQUIRE(placed == 4);
}

TEST_CASE_METHOD(placement_fixture, "placement.cold_upstream.gets_this_entry_s_share_of_the_cold_rate")
{
    upstream_announcement cold = makeUpstream("u", "here", 100);
    cold.coldFor = 3s;
    add(cold);
    for (const char* other : { "e2", "e3", "e4" })
        addEntry(other);
    start();
    int placed = 0;
    for (int i = 0; i < 20; ++i)
        placed += placedAt("court 7", 10s).empty() ? 0 : 1;
    REQUIRE(placed == 1);
    runtime.advance(3s);
    REQUIRE(placedAt("court 7") == "u");
}

TEST_CASE_METHOD(placement_fixture, "placement.allowed_regions.apply_even_without_free_slots_there")
{
    add(makeUpstream("u", "here", 1));
    add(makeUpstream("v", "there", 1));
    allowed = { region_id("there") };
    start();
    for (int i = 0; i < 10; ++i) {
        const std::string at = placedAt("court " + std::to_string(i));
        REQUIRE((at.empty() || at == "v"));
    }
}

TEST_CASE_METHOD(placement_fixture, "placement.lost_connection.ejects_the_upstream_for_a_while")
{
    add(makeUpstream("u", "here"));
    add(makeUpstream("v", "here"));
    start();
    const slot_answer first = place("court 7");
    release(first, slot_result::kind::Lost);
    REQUIRE(placedAt("court 7") != first.slot->upstream.id.value());
    runtime.advance(400ms);
    REQUIRE(placedAt("court 7") == first.slot->upstream.id.value());
}

TEST_CASE_METHOD(placement_fixture, "placement.upstream_that_often_fails.gets_single_probes")
{
    add(makeUpstream("u", "here"));
    add(makeUpstream("v", "here"));
    start();
    const std::string home = place("court 7").slot->upstream.id.value();
    for (int i = 0; i < 6; ++i) {
        const slot_answer placed = place("court 7");
        if (placed.slot->upstream.id.value() == home)
            release(placed, slot_result::kind::Failed);
    }
    int probes = 0;
    for (int i = 0; i < 10; ++i)
        probes += placedAt("court 7") == home ? 1 : 0;
    REQUIRE(probes <= 1);
}

TEST_CASE_METHOD(placement_fixture, "placement.reported_load_of_other_entries.diverts_requests")
{
    add(makeUpstream("u", "here", 2));
    add(makeUpstream("v", "here", 2));
    start();
    const slot_answer first = place("court 7");
    slot_result result;
    result.ended = slot_result::kind::Answered;
    result.latency = 200ms;
    result.metadata.load = load_report { true, false, 1, 0, 2 };
    slots->release(first.slot->handle, result);
    const slot_answer second = place("court 7");
    REQUIRE(second.slot->upstream.id == first.slot->upstream.id);
    // The queue is so long that the other upstream is better, although its cost is doubled because the object is
    // unknown to it.
    result.metadata.load = load_report { true, false, 2, 20, 2 };
    slots->release(second.slot->handle, result);
    REQUIRE(placedAt("court 7") != first.slot->upstream.id.value());
}

// Guards against work that is sent to a machine which has just reported that it is slow, and against avoiding it for
// longer than such a state lasts.
TEST_CASE("upstream_stats.report_of_a_slow_machine.delays_runs_for_a_short_while", "[placement]")
{
    upstream_stats stats;
    const time_point start = time_point() + 1h;
    const auto report = [&](double factor) {
        slot_result result;
        result.ended = slot_result::kind::Answered;
        result.metadata.load = load_report { true, false, 1, 0, 6, factor };
        stats.noteRequest();
        stats.noteResult(result, 1, {}, start);
    };
    report(1);
    REQUIRE(stats.slowMachineDelay(300ms, start) == duration::zero());
    report(2.5);
    REQUIRE(stats.slowMachineDelay(300ms, start) == 150ms);
    REQUIRE(stats.slowMachineDelay(20ms, start) == 30ms);
    REQUIRE(stats.slowMachineDelay(300ms, start + 200ms) == 75ms);
    REQUIRE(stats.slowMachineDelay(300ms, start + 2s) < 1ms);
    report(1);
    REQUIRE(stats.slowMachineDelay(300ms, start) == duration::zero());
}

TEST_CASE_METHOD(placement_fixture, "placement.removed_upstream.gets_no_requests_and_has_its_connections_closed")
{
    const upstream_announcement upstream = makeUpstream("u", "here");
    add(upstream);
    start();
    const slot_answer held = place("court 7");
    state.directory.clear();
    changed();
    REQUIRE(addressesWithClosedConnections.contains(upstream.address));
    REQUIRE(placedAt("court 7").empty());
    release(held, slot_result::kind::Answered);
}

TEST_CASE_METHOD(
    placement_fixture, "placement.all_upstreams_refuse_at_the_same_rate.each_object_still_goes_to_its_home")
{
    for (const upstream_announcement& upstream : manyUpstreams(6, 0))
        add(upstream);
    start();
    std::map<std::string, std::string> homes;
    for (int i = 0; i < 60; ++i) {
        const std::string object = "o" + std::to_string(i);
        const slot_answer placed = place(object);
        homes[object] = placed.slot->upstream.id.value();
        release(placed, slot_result::kind::Answered);
    }
    // Every second request is refused, whichever upstream receives it.
    for (int i = 0; i < 600; ++i) {
        release(place("o" + std::to_string(i / 2 % 60)),
            i % 2 == 0 ? slot_result::kind::Shed : slot_result::kind::Answered);
        runtime.advance(20ms);
    }
    for (const auto& [object, home] : homes) {
        const slot_answer placed = place(object);
        REQUIRE(placed.slot);
        REQUIRE(placed.slot->upstream.id.value() == home);
        release(placed, slot_result::kind::Answered);
    }
}

TEST_CASE_METHOD(placement_fixture, "placement.refused_for_lack_of_capacity.reports_the_inputs_of_the_decision")
{
    add(makeUpstream("local0", "here"));
    start();
    const slot_answer refused = place("o", 20ms);
    REQUIRE_FALSE(refused.slot);
    std::set<std::string> named;
    for (const log_field& input : refused.inputs)
        named.insert(input.name);
    for (const char* name : { "best", "object", "load", "slowness", "expected_ms", "patience_ms", "configuration" }) {
        CAPTURE(name);
        REQUIRE(named.contains(name));
    }
}

// Guards against a route that is refused for the life of the process once its answers were slow for a while.
TEST_CASE_METHOD(placement_fixture, "placement.route_whose_upstreams_were_slow_for_a_while.is_served_again")
{
    add(makeUpstream("u", "here"));
    start();
    int placed = 0;
    for (slot_answer got = place("court 7"); got.slot && placed < 100; got = place("court 7"), ++placed) {
        runtime.advance(100ms);
        release(got, slot_result::kind::Answered, 5s);
    }
    REQUIRE(placed < 100);
    runtime.advance(30s);
    REQUIRE(placedAt("court 7") == "u");
}

TEST_CASE("latency_model.high_average_without_new_answers.is_replaced_by_the_next_one", "[placement]")
{
    const time_point begin;
    for (const object_state state : { object_state::Known, object_state::Unknown }) {
        latency_model subject;
        subject.observe(route_id("r"), state, 5s, begin);
        REQUIRE(subject.expected(route_id("r"), state, 600ms, begin + 1s) >= duration(5s));
        REQUIRE(subject.expected(route_id("r"), state, 600ms, begin + 10s) < duration(1s));
        subject.observe(route_id("r"), state, 900ms, begin + 10s);
        REQUIRE(subject.expected(route_id("r"), state, 600ms, begin + 10s) == duration(900ms));
    }
}

TEST_CASE("latency_model.low_average_without_new_answers.is_kept", "[placement]")
{
    latency_model subject;
    subject.observe(route_id("r"), object_state::Known, 50ms, {});
    REQUIRE(subject.expected(route_id("r"), object_state::Known, 600ms, time_point() + 1h) == duration(50ms));
}

TEST_CASE("latency_model.answer_for_a_likely_known_object.does_not_change_the_averages", "[placement]")
{
    latency_model subject;
    subject.observe(route_id("r"), object_state::Known, 200ms, {});
    subject.observe(route_id("r"), object_state::Likely, 900ms, {});
    REQUIRE(subject.expected(route_id("r"), object_state::Known, 600ms, {}) == duration(200ms));
    REQUIRE(subject.expected(route_id("r"), object_state::Likely, 600ms, {}) == duration(200ms));
}

TEST_CASE_METHOD(
    placement_fixture, "placement.route_without_observations.is_served_within_its_target_latency", "[placement]")
{
    add(makeUpstream("local0", "here"));
    start();
    REQUIRE(placedAt("", 600ms) == "local0");
}

TEST_CASE_METHOD(placement_fixture, "placement.answers_for_new_objects.do_not_change_the_estimate_for_known_ones")
{
    add(makeUpstream("local0", "here"));
    start();
    const auto expectedMilliseconds = [](const slot_answer& placed) {
        for (const log_field& input : placed.inputs) {
            if (input.name == "expected_ms")
                return input.value;
        }
        return std::string();
    };
    release(place("known"), slot_result::kind::Answered, 200ms);
    release(place("known"), slot_result::kind::Answered, 200ms);
    const slot_answer before = place("known");
    release(before, slot_result::kind::Unused);
    for (int i = 0; i < 12; ++i)
        release(place("new" + std::to_string(i)), slot_result::kind::Answered, 900ms);
    REQUIRE(expectedMilliseconds(place("known")) == expectedMilliseconds(before));
}

TEST_CASE_METHOD(placement_fixture, "placement.change_of_one_upstream.is_applied_to_existing_orders", "[placement]")
{
    add(makeUpstream("a", "here"));
    start();
    REQUIRE(placedAt("x") == "a");
    add(makeUpstream("b", "here"));
    state.directory.erase(upstream_id("a"));
    notify({ steering_scope::Upstreams, { upstream_id("a") } });
    REQUIRE(addressesWithClosedConnections.contains(makeUpstream("a", "here").address));
    REQUIRE(placedAt("x").empty());
    notify({ steering_scope::Upstreams, { upstream_id("b") } });
    REQUIRE(placedAt("x") == "b");
    state.directory[upstream_id("b")].announcement.draining = true;
    notify({ steering_scope::Upstreams, { upstream_id("b") } });
    REQUIRE(placedAt("x").empty());
}

TEST_CASE_METHOD(placement_fixture, "placement.cold_upstreams_at_their_limit.leave_room_for_others", "[placement]")
{
    // A failure domain has just been restored, and most upstreams of the region are cold.
    for (int i = 0; i < 12; ++i) {
        upstream_announcement cold = makeUpstream("cold" + std::to_string(i), "here");
        cold.coldFor = 3s;
        add(cold);
    }
    add(makeUpstream("warm", "there", 100));
    start();
    int placed = 0;
    for (int i = 0; i < 80; ++i)
        placed += placedAt("court " + std::to_string(i)).empty() ? 0 : 1;
    REQUIRE(placed == 80);
}

TEST_CASE_METHOD(placement_fixture, "placement.cold_upstream_that_is_too_slow.keeps_its_permit", "[placement]")
{
    upstream_announcement cold = makeUpstream("u", "here", 100);
    cold.coldFor = 3s;
    add(cold);
    for (const char* other : { "e2", "e3", "e4" })
        addEntry(other);
    start();
    REQUIRE(placedAt("court 7", 50ms).empty());
    REQUIRE(placedAt("court 7", 10s) == "u");
}

// Guards against upstreams that end because the bodies sent to them at once exceed their memory.
TEST_CASE_METHOD(placement_fixture, "placement.bodies_in_flight_to_an_upstream.stay_within_their_limit", "[placement]")
{
    add(makeUpstream("a", "here"));
    add(makeUpstream("b", "here"));
    start();
    bodySize = byte_count(12 * 1024 * 1024);
    std::map<std::string, int> placed;
    slot_answer last;
    for (int i = 0; i < 4; ++i) {
        last = place("1");
        REQUIRE(last.slot);
        ++placed[last.slot->upstream.id.value()];
    }
    REQUIRE(placed == std::map<std::string, int> { { "a", 2 }, { "b", 2 } });
    const slot_answer refused = place("1");
    REQUIRE_FALSE(refused.slot);
    REQUIRE(refused.refusal == slot_refusal::Overloaded);
    const std::string freed = last.slot->upstream.id.value();
    release(last, slot_result::kind::Answered);
    REQUIRE(placedAt("1") == freed);
    // Short bodies and requests without one are placed all the same.
    for (const std::uint64_t size : { 0, 1, 64 * 1024 }) {
        bodySize = byte_count(size);
        REQUIRE(place("1").slot);
    }
}

TEST_CASE_METHOD(
    placement_fixture, "placement.body_above_the_limit.is_placed_if_it_is_the_only_long_one", "[placement]")
{
    add(makeUpstream("a", "here"));
    start();
    bodySize = byte_count(100);
    REQUIRE(place("1").slot);
    bodySize = byte_count(60 * 1024 * 1024);
    const slot_answer only = place("1");
    REQUIRE(only.slot);
    REQUIRE_FALSE(place("1").slot);
    release(only, slot_result::kind::Lost);
    runtime.advance(1s);
    REQUIRE(place("1").slot);
}

TEST_CASE_METHOD(placement_fixture, "placement.short_bodies_in_flight.have_a_limit_of_their_own", "[placement]")
{
    options.bytesInFlight.maximum = byte_count(1000);
    options.bytesInFlight.smallBody = byte_count(400);
    add(makeUpstream("a", "here"));
    start();
    bodySize = byte_count(400);
    REQUIRE(place("1").slot);
    REQUIRE(place("1").slot);
    REQUIRE_FALSE(place("1").slot);
    bodySize = byte_count();
    REQUIRE(place("1").slot);
}

} // namespace plantainlatch
