#include <algorithm>

#include <catch2/catch.hpp>

#include "decision/vm/routed_vm.h"
#include "model/approximate_size.h"
#include "ports/port_names.h"
#include "support/fake_disk.h"
#include "support/fake_network.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    constexpr int replicaCount = 3;
    /** The part of the entry's link that callers leave free, in bytes per second. */
    constexpr std::uint64_t entryBandwidth = 350'000;
    constexpr int formerRouteCount = 2822;
    constexpr int addedRouteCount = 1400;
    /** How long after its acknowledgement a configuration is in force on all entries. */
    constexpr duration propagationLimit = 3s;
    constexpr const char* near = "near";
    constexpr const char* far = "far";

    /** A VM and its process. */
    struct delivery_vm {
        explicit delivery_vm(paused_runtime& runtime)
            : disk(runtime)
        {
        }

        vm_record record;
        fake_disk disk;
        process_lifetime life = std::make_shared<bool>(true);
        peer_port peers;
        storage_port storage;
        upstream_port upstreams;
        std::unique_ptr<routed_vm> decisions;
        std::unique_ptr<kernel> core;
    };

    /** Three replicas and an entry in region "near" whose link is slow. The only upstream is in region "far". */
    class configuration_delivery_fixture {
    protected:
        explicit configuration_delivery_fixture(std::uint64_t entriesPerSnapshot = 1000, std::uint64_t window = 2048)
            : snapshotEvery(entriesPerSnapshot)
            , maximumWindow(window)
        {
            network.delay = [](const vm_id&, const vm_id&) { return 55ms; };
            network.bytesPerSecond
                = [this](const vm_id& to) { return to == vms.back()->record.id ? entryBandwidth : 0; };
            network.onSend = [this](const vm_id&, const vm_id& to, const peer_message& message) {
                if (to != vms.back()->record.id)
                    return;
                sentToEntry += approximateSize(message);
                const auto* item = std::get_if<consensus_message>(&message);
                snapshotsToEntry += item != nullptr && std::holds_alternative<snapshot_request>(*item) ? 1 : 0;
            };
            for (int i = 1; i <= replicaCount + 1; ++i)
                addVm(i);
            for (auto& vm : vms)
                start(*vm);
            REQUIRE(until([&] { return port<consensus_port>(*vms[0], port_names::consensus).state().current; }));
        }

        void addVm(int number)
        {
            auto vm = std::make_unique<delivery_vm>(runtime);
            vm->record.id = vm_id("10.0.0." + std::to_string(number) + ":7000");
            vm->record.region = region_id(near);
            vm->record.failureDomain = failure_domain_id("near-1");
            vm->record.replica = number <= replicaCount;
            vm->record.entry = !vm->record.replica;
            vms.push_back(std::move(vm));
        }

        void start(delivery_vm& vm)
        {
            const kernel_hooks hooks = processHooks(runtime, vm.life);
            vm.peers = network.attach(vm.record.id, vm.life);
            vm.storage = vm.disk.attach(vm.life);
            vm.upstreams.start = [this](const upstream_call& call, const call_events&) { called.push_back(call); };
            vm.upstreams.cancel = [](call_id) {};
            vm.upstreams.closeIdleConnections = [](const network_address&) {};
            vm_settings settings;
            settings.self = vm.record;
            settings.membership = membership_mode::Seeded;
            for (const auto& other : vms) {
                if (other->record.replica || &vm == other.get())
                    settings.vms.push_back(other->record);
            }
            routed_bounds bounds;
            bounds.renewalInterval = 1h;
            routed_options options = routedOptionsFor(bounds);
            options.consensus.snapshotEvery = snapshotEvery;
            options.consensus.trailingEntries = snapshotEvery / 5;
            options.consensus.maximumWindow = maximumWindow;
            vm.decisions = *routed_vm::create(hooks, settings, options);
            vm.core = *kernel::create(hooks);
            publish(vm, port_names::peers, vm.peers);
            publish(vm, port_names::upstreams, vm.upstreams);
            if (vm.record.replica)
                publish(vm, port_names::storage, vm.storage);
            vm.decisions->addTo(*vm.core);
            REQUIRE(vm.core->start().ok());
        }

        template <typename Port> void publish(delivery_vm& vm, const char* name, Port& item)
        {
            service published;
            published.name = name;
            published.start = [name, &item](registry& services) { return services.publish(name, item); };
            vm.core->add(published);
        }

        template <typename Port> Port& port(delivery_vm& vm, const char* name)
        {
            return **vm.core->services().find<Port>(name);
        }

        bool until(const std::function<bool()>& condition, duration limit = 20s)
        {
            const time_point end = runtime.now() + limit;
            while (!condition() && runtime.now() < end)
                runtime.advance(10ms);
            return condition();
        }

        /** A configuration with the route "/a/", which all regions serve, and `added` others; those with an odd number
         * are served in region "near" only. */
        static configuration makeConfiguration(std::uint64_t number, int added, double weight)
        {
            configuration config;
            config.number = change_number(number);
            config.services[service_id("booking")].id = service_id("booking");
            config.services[service_id("booking")].slots = slot_count(100);
            for (const char* region : { near, far }) {
                config.regions[region_id(region)].id = region_id(region);
                config.regions[region_id(region)].failureDomains = { failure_domain_id(std::string(region) + "-1") };
            }
            config.routes.push_back(makeRoute("all", "/a/", {}, weight));
            for (int i = 1; i <= added; ++i) {
                const std::string name = std::to_string(i);
                std::vector<region_id> allowed;
                if (i % 2 == 1)
                    allowed.emplace_back(near);
                config.routes.push_back(makeRoute("route-" + name, "/a/" + name + "/", std::move(allowed), 1));
            }
            config.document = documentOf(config);
            return config;
        }

        static route_definition makeRoute(
            std::string id, std::string pathPrefix, std::vector<region_id> allowed, double weight)
        {
            route_definition route;
            route.id = route_id(std::move(id));
            route.host = "bookings.example";
            route.pathPrefix = std::move(pathPrefix);
            route.timeLimit = 3s;
            route.targetLatency = 1s;
            route.maximumAttempts = 2;
            route.allowedRegions = std::move(allowed);
            route.services = { { service_id("booking"), weight } };
            return route;
        }

        /** Stands for the operator's text, in which a route takes about 150 bytes. */
        static std::string documentOf(const configuration& config)
        {
            std::string text = "{\"version\":" + std::to_string(config.number.value()) + ",\"routes\":[";
            for (const route_definition& route : config.routes) {
                text += "[\"" + route.id.value() + "\",\"" + route.host + "\",\"" + route.pathPrefix
                    + "\",\"safe\",3000,1000,1,2,true,[" + (route.allowedRegions.empty() ? "" : "\"near\"")
                    + "],null,[{\"service\":\"booking\",\"weight\":" + std::to_string(route.services[0].weight)
                    + "}]],";
            }
            return text + "]}";
        }

        /** Puts a configuration through a replica that is not the leader, and waits for the acknowledgement. */
        void put(const configuration& content)
        {
            auto& leader = *vms[0];
            delivery_vm& through
                = port<consensus_port>(leader, port_names::consensus).state().leading ? *vms[1] : leader;
            bool acknowledged = false;
            port<configuration_port>(through, port_names::configurations).put(content, [&](const absl::Status& status) {
                acknowledged = status.ok();
            });
            REQUIRE(until([&] { return acknowledged; }, 5s));
        }

        void announceFarUpstream()
        {
            upstream_announcement upstream;
            upstream.id = upstream_id("u");
            upstream.generation = upstream_generation(1);
            upstream.service = service_id("booking");
            upstream.address = { "10.1.0.1", 8000 };
            upstream.region = region_id(far);
            upstream.failureDomain = failure_domain_id("far-1");
            upstream.slots = slot_count(6);
            upstream.connections = 10;
            bool done = false;
            port<consensus_port>(*vms[0], port_names::consensus)
                .propose(upstream_joined { upstream }, 5s, [&](const auto&) { done = true; });
            REQUIRE(until([&] { return done; }));
        }

        /** Sends a request to the entry; returns whether it was sent to an upstream. */
        bool reachesUpstream(const std::string& target)
        {
            caller_request request;
            request.host = "bookings.example";
            request.method = "GET";
            request.target = target;
            request.deadline = 3s;
            const std::size_t before = called.size();
            port<request_port>(*vms.back(), port_names::requests).submit(request, [](const caller_answer&) {});
            runtime.advance(10ms);
            return called.size() > before;
        }

        change_number inForceOnEntry()
        {
            return port<control_port>(*vms.back(), port_names::control).state().config.number;
        }

        std::uint64_t snapshotEvery;
        std::uint64_t maximumWindow;
        paused_runtime runtime { 7 };
        fake_network network { runtime };
        std::vector<std::unique_ptr<delivery_vm>> vms;
        std::vector<upstream_call> called;
        std::size_t sentToEntry = 0;
        int snapshotsToEntry = 0;
    };

    /** The log is compacted while entries are still on their way to the slow entry. */
    class frequent_snapshots_fixture : public configuration_delivery_fixture {
    protected:
        frequent_snapshots_fixture()
            : configuration_delivery_fixture(100, 64)
        {
        }

        /** Proposes a crash report, which is an entry of a few hundred bytes. */
        void proposeSmall(int number)
        {
            report_crash command;
            command.service = service_id("booking");
            command.upstream = upstream_id(std::string(500, 'u') + std::to_string(number % 3));
            port<consensus_port>(*vms[0], port_names::consensus).propose(command, 20s, [this](const auto& result) {
                applied += result.ok() ? 1 : 0;
            });
        }

        int applied = 0;
    };

} // namespace

TEST_CASE_METHOD(
    configuration_delivery_fixture, "request.of_a_new_route_on_an_entry_with_a_slow_link.stays_in_its_allowed_regions")
{
    put(makeConfiguration(1, formerRouteCount, 1));
    announceFarUpstream();
    REQUIRE(until([&] { return inForceOnEntry() == change_number(1); }, 60s));
    runtime.advance(30s);
    put(makeConfiguration(2, formerRouteCount + addedRouteCount, 1));
    put(makeConfiguration(3, formerRouteCount + addedRouteCount, 2));
    runtime.advance(propagationLimit);
    REQUIRE(reachesUpstream("/a/other"));
    REQUIRE_FALSE(reachesUpstream("/a/" + std::to_string(formerRouteCount + 1) + "/x"));
    REQUIRE(inForceOnEntry() == change_number(3));
}

TEST_CASE_METHOD(
    configuration_delivery_fixture, "configuration.sent_to_an_entry_with_a_slow_link.is_not_sent_again_on_its_way")
{
    put(makeConfiguration(1, 1, 1));
    REQUIRE(until([&] { return inForceOnEntry() == change_number(1); }));
    sentToEntry = 0;
    const configuration large = makeConfiguration(2, formerRouteCount, 1);
    put(large);
    REQUIRE(until([&] { return inForceOnEntry() == change_number(2); }, 60s));
    REQUIRE(sentToEntry < approximateSize(large) * 3 / 2);
}

TEST_CASE_METHOD(configuration_delivery_fixture, "follower.behind_for_a_second.is_logged_by_the_leader")
{
    put(makeConfiguration(1, formerRouteCount, 1));
    REQUIRE(until([&] { return inForceOnEntry() == change_number(1); }, 60s));
    const auto namesEntry = [this](const log_event& line) {
        return line.what == "a follower was behind" && line.fields.at(0).value == vms.back()->record.id.value();
    };
    REQUIRE(until([&] { return std::any_of(runtime.logLines.begin(), runtime.logLines.end(), namesEntry); }));
}

TEST_CASE_METHOD(configuration_delivery_fixture, "follower.that_answers_each_entry_at_once.is_not_logged_as_behind")
{
    put(makeConfiguration(1, 1, 1));
    REQUIRE(until([&] { return inForceOnEntry() == change_number(1); }));
    runtime.logLines.clear();
    for (int i = 0; i < 500; ++i) {
        port<consensus_port>(*vms[0], port_names::consensus).propose(noop_command {}, 5s, [](const auto&) {});
        runtime.advance(20ms);
    }
    REQUIRE(std::none_of(runtime.logLines.begin(), runtime.logLines.end(),
        [](const log_event& line) { return line.what == "a follower was behind"; }));
}

TEST_CASE_METHOD(
    frequent_snapshots_fixture, "follower.whose_entries_are_compacted_on_their_way.gets_few_snapshots_and_catches_up")
{
    constexpr int count = 600;
    put(makeConfiguration(1, 300, 1));
    REQUIRE(until([&] { return inForceOnEntry() == change_number(1); }));
    runtime.advance(5s);
    snapshotsToEntry = 0;
    network.bytesPerSecond = [this](const vm_id& to) { return to == vms.back()->record.id ? 20'000 : 0; };
    for (int i = 0; i < count; ++i) {
        proposeSmall(i);
        runtime.advance(5ms);
    }
    REQUIRE(until([&] { return applied == count; }));
    const log_index last = port<consensus_port>(*vms[0], port_names::consensus).applied();
    REQUIRE(until([&] { return port<consensus_port>(*vms.back(), port_names::consensus).applied() >= last; }, 120s));
    REQUIRE(snapshotsToEntry <= 3);
}

// Guards against an assembly in which the leader, which is not an entry, leases nothing, or requests are not charged.
TEST_CASE_METHOD(
    configuration_delivery_fixture, "account_quota.entry_of_a_routed_system.gets_leases_and_refuses_beyond_the_quota")
{
    configuration content = makeConfiguration(1, 0, 1);
    const account_id account("acme");
    content.accounts[account] = { .id = account, .quota = { 40, 40 } };
    put(content);
    REQUIRE(until([&] { return inForceOnEntry() == change_number(1); }));
    runtime.advance(8s);
    quota_port& quotas = port<quota_port>(*vms.back(), port_names::quotas);
    int refused = 0;
    for (int i = 0; i < 35 * 8; ++i) {
        refused += quotas.acquire(account).admitted ? 0 : 1;
        runtime.advance(duration(1s) / 35);
    }
    REQUIRE(refused == 0);
    while (quotas.acquire(account).admitted) { }
    caller_request request;
    request.service = service_id("booking");
    request.account = account;
    request.deadline = 3s;
    std::optional<caller_answer> answer;
    port<request_port>(*vms.back(), port_names::requests).submit(request, [&](caller_answer got) { answer = got; });
    REQUIRE(answer.has_value());
    REQUIRE(answer->content.status == 429);
    REQUIRE(answer->retryAfter > 0s);
}

} // namespace plantainlatch
