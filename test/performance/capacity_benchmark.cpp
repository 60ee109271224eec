/** \file
 * Measures the unit costs in docs/CAPACITY.md: bytes and wall time of each control message, and of the control state
 * for each additional VM, upstream, change and key.
 */

#include <chrono>
#include <cstdio>
#include <functional>
#include <random>
#include <string>

#include "codec/msgpack_codec.h"
#include "codec/peer_message_codec.h"
#include "decision/control/control_service.h"
#include "decision/slots/upstream_table.h"
#include "kernel/kernel.h"
#include "ports/port_names.h"
#include "support/paused_runtime.h"

namespace {

using namespace plantainlatch;
using clock_type = std::chrono::steady_clock;

constexpr int rounds = 2000;

double meanNanoseconds(int count, const std::function<void()>& action)
{
    const auto begun = clock_type::now();
    for (int i = 0; i < count; ++i)
        action();
    return std::chrono::duration<double, std::nano>(clock_type::now() - begun).count() / count;
}

void showMessage(const char* name, const peer_message& message)
{
    const auto codec = *peer_message_codec::create();
    const std::string bytes = codec->encode(message);
    const double encodeTime = meanNanoseconds(rounds, [&] { codec->encode(message); });
    const double decodeTime = meanNanoseconds(rounds, [&] { codec->decode(bytes).IgnoreError(); });
    std::printf(
        "%-44s %8zu bytes %9.0f ns encode %9.0f ns decode (wall time)\n", name, bytes.size(), encodeTime, decodeTime);
}

upstream_announcement makeAnnouncement(int number)
{
    const std::string text = std::to_string(number);
    upstream_announcement item;
    item.id = upstream_id("booking-" + text);
    item.generation = upstream_generation(1764800000000 + static_cast<std::uint64_t>(number));
    item.service = service_id("booking");
    item.address = { "10.20." + std::to_string(number / 250) + "." + std::to_string(number % 250), 9001 };
    item.region = region_id("fukuoka");
    item.failureDomain = failure_domain_id("hakata");
    item.slots = slot_count(6);
    item.connections = 360;
    return item;
}

declaration makeChange(std::uint64_t number)
{
    declaration change;
    change.number = change_number(number);
    change.replaces = change_number(number - 1);
    change.note = "moves a share of booking between two places, reviewed and numbered by the operators";
    share_definition share { service_id("booking"), failure_domain_id("hakata"),
        static_cast<std::uint32_t>(1 + number % 100) };
    change.shares.changed.push_back({ share, {} });
    share.failureDomain = failure_domain_id("kokura");
    change.shares.changed.push_back({ share, {} });
    return change;
}

proposal makeProposal(std::uint64_t sequence, control_command command)
{
    proposal item;
    item.id = { vm_id("e1"), incarnation(7), sequence };
    item.command = std::move(command);
    return item;
}

log_entry makeEntry(std::uint64_t index, control_command command)
{
    return { log_term(3), log_index(index), makeProposal(index, std::move(command)) };
}

append_request makeAppend(int entries, const control_command& command)
{
    append_request request;
    request.term = log_term(3);
    request.leader = { vm_id("e1"), incarnation(0x123456789abcdef) };
    request.previousIndex = log_index(100000);
    request.committed = log_index(100000);
    for (int i = 0; i < entries; ++i)
        request.entries.push_back(makeEntry(100001 + static_cast<std::uint64_t>(i), command));
    return request;
}

slot_report makeReport(int upstreams)
{
    slot_report report;
    report.region = region_id("fukuoka");
    report.epoch = allocator_epoch(4);
    report.start = incarnation(0x123456789abcdef);
    report.sequence = 123456;
    report.demands.resize(2, { service_id("booking"), {}, 3, 5 });
    for (int i = 0; i < upstreams; ++i)
        report.held.push_back({ makeAnnouncement(i).id, makeAnnouncement(i).generation, 2 });
    return report;
}

slot_grant makeGrant(int upstreams)
{
    slot_grant grant;
    grant.region = region_id("fukuoka");
    grant.granted = makeReport(upstreams).held;
    return grant;
}

vm_heartbeat makeHeartbeat(int measurements)
{
    vm_heartbeat heartbeat;
    heartbeat.vm = vm_id("e1");
    heartbeat.start = incarnation(0x123456789abcdef);
    heartbeat.sequence = 123456;
    heartbeat.measurements.resize(
        static_cast<std::size_t>(measurements), { service_id("booking"), failure_domain_id("hakata"), 1000, 10, 10 });
    return heartbeat;
}

void showMessages()
{
    std::puts("messages:");
    showMessage("append_request without entries (heartbeat)", consensus_message(makeAppend(0, {})));
    showMessage("append_answer", consensus_message(append_answer {}));
    showMessage(
        "append_request with one declaration", consensus_message(makeAppend(1, apply_declaration { makeChange(500) })));
    claim_key claim { service_id("billing"), idempotency_key("0123456789abcdef0123456789abcdef"),
        request_fingerprint(77) };
    showMessage("append_request with one key claim", consensus_message(makeAppend(1, claim)));
    showMessage("append_request with 100 key claims", consensus_message(makeAppend(100, claim)));
    showMessage("vm_heartbeat without measurements", control_message(makeHeartbeat(0)));
    showMessage("vm_heartbeat with 12 measurements", control_message(makeHeartbeat(12)));
    showMessage("heartbeat_answer", control_message(heartbeat_answer {}));
    showMessage("slot_report of 0 upstreams", slot_message(makeReport(0)));
    showMessage("slot_report of 12 upstreams", slot_message(makeReport(12)));
    showMessage("slot_grant of 12 upstreams", slot_message(makeGrant(12)));
    showMessage("forwarded_announcement", control_message(forwarded_announcement { makeAnnouncement(1) }));
}

std::string randomName(std::mt19937& generator, int letters)
{
    constexpr unsigned alphabet = 26;
    std::string name;
    for (int i = 0; i < letters; ++i)
        name += static_cast<char>('a' + generator() % alphabet);
    return name;
}

/** A configuration with routes of random names, and a document of about the size of the operators' text. */
configuration makeConfiguration(std::uint64_t number, int routes)
{
    constexpr unsigned hosts = 40;
    std::mt19937 generator(2026);
    configuration content;
    content.number = change_number(number);
    for (int i = 0; i < routes; ++i) {
        route_definition route;
        route.id = route_id("r-" + randomName(generator, 7));
        route.host = "bookings" + std::to_string(generator() % hosts) + ".example";
        route.pathPrefix = "/" + randomName(generator, 8) + "/" + randomName(generator, 6) + "/";
        route.timeLimit = std::chrono::seconds(3);
        route.targetLatency = std::chrono::seconds(1);
        route.maximumAttempts = 2;
        if (i % 2 == 1)
            route.allowedRegions = { region_id("fukuoka") };
        route.services = { { service_id("booking"), 1 } };
        content.document += "[\"" + route.id.value() + "\",\"" + route.host + "\",\"" + route.pathPrefix
            + "\",\"safe\",3000,1000,1,\"booking\",2,true,[],null],";
        content.routes.push_back(std::move(route));
    }
    return content;
}

/** Prints the costs of a large message: encoded for one VM, again for another, and decoded. */
void showLargeMessage(const char* name, const peer_message& message)
{
    constexpr int largeRounds = 50;
    constexpr double millisecond = 1e6;
    const peer_message other = consensus_message(makeAppend(100, apply_declaration { makeChange(500) }));
    const auto codec = *peer_message_codec::create();
    const std::string bytes = codec->encode(message);
    const double again = meanNanoseconds(largeRounds, [&] { codec->encode(message); });
    const double alternating = meanNanoseconds(largeRounds, [&] {
        codec->encode(other);
        codec->encode(message);
    });
    const double decoded = meanNanoseconds(largeRounds, [&] { codec->decode(bytes).IgnoreError(); });
    std::printf("%-44s %8zu bytes of %zu, %.2f ms encode, %.2f ms again for another VM, %.2f ms decode (wall time), "
                "%zu bytes kept\n",
        name, bytes.size(), msgpack_codec::encode(message).size(), alternating / millisecond, again / millisecond,
        decoded / millisecond, codec->keptMemory());
}

void showLargeMessages()
{
    constexpr int routes = 4222;
    const configuration content = makeConfiguration(19, routes);
    showLargeMessage(
        "append_request with 4,222 routes", consensus_message(makeAppend(1, replace_configuration { content })));
    snapshot_request request;
    request.snapshot.state.config = content;
    showLargeMessage("snapshot_request with 4,222 routes", consensus_message(request));
}

void showMarginalStateCost(const char* name, int count, const std::function<void(control_snapshot&, int)>& addItem)
{
    control_snapshot state;
    const std::size_t empty = msgpack_codec::encode(state).size();
    for (int i = 0; i < count; ++i)
        addItem(state, i);
    const std::string bytes = msgpack_codec::encode(state);
    const double encodeTime = meanNanoseconds(3, [&] { msgpack_codec::encode(state); });
    const double decodeTime = meanNanoseconds(3, [&] { msgpack_codec::decode<control_snapshot>(bytes).IgnoreError(); });
    std::printf("%-44s %8.0f bytes %9.0f ns encode %9.0f ns decode (wall time), each of %d\n", name,
        static_cast<double>(bytes.size() - empty) / count, encodeTime / count, decodeTime / count, count);
}

void showState()
{
    constexpr int count = 20000;
    std::puts("snapshot of the control state:");
    showMarginalStateCost("upstream in the directory", count, [](control_snapshot& state, int i) {
        state.directory[makeAnnouncement(i).id].announcement = makeAnnouncement(i);
    });
    showMarginalStateCost("idempotency key without answer", count, [](control_snapshot& state, int i) {
        state.keys[{ service_id("billing"), idempotency_key("0123456789abcdef0123456789a" + std::to_string(i)) }]
            = key_record { { vm_id("e1"), incarnation(7), 9 } };
    });
    showMarginalStateCost("change in the history", count, [](control_snapshot& state, int i) {
        state.history.push_back({ makeChange(static_cast<std::uint64_t>(i) + 1), {}, vm_id("e1") });
    });
    showMarginalStateCost("VM", count, [](control_snapshot& state, int i) {
        const vm_id id("e" + std::to_string(i));
        state.vms[id] = { { id, region_id("fukuoka"), failure_domain_id("hakata"), { "10.20.30.40", 7080 },
            { "10.20.30.40", 7070 }, false } };
    });
}

/** Applies a command; prints a refusal, since the measured time would then be meaningless. */
void applyAccepted(control_port& port, std::uint64_t sequence, control_command command)
{
    const command_result result = port.apply(makeProposal(sequence, std::move(command)));
    if (result.verdict != command_verdict::Accepted)
        std::printf("refused: %s\n", result.message.c_str());
}

/** Prints the wall time to apply commands on one VM with `upstreams` entries in its directory. */
void showApplyTimes(int upstreams)
{
    paused_runtime runtime(1);
    const kernel_hooks hooks = runtime.hooks();
    auto core = std::move(*kernel::create(hooks));
    auto control = std::move(*control_service::create(hooks, {}));
    core->add(control->asService());
    if (!core->start().ok())
        return;
    control_port& port = **core->services().find<control_port>(port_names::control);
    std::uint64_t sequence = 0;
    declaration first;
    first.number = change_number(1);
    first.regions.added.push_back(
        { { region_id("fukuoka"), { failure_domain_id("hakata"), failure_domain_id("kokura") } }, {} });
    service_definition service;
    service.id = service_id("booking");
    service.slots = slot_count(6);
    service.connections = 360;
    service.defaultDeadline = std::chrono::seconds(1);
    service.maximumDeadline = std::chrono::seconds(5);
    service.maximumBody = byte_count(1 << 20);
    service.keyRetention = std::chrono::hours(24);
    first.services.added.push_back({ service, {} });
    first.shares.added.push_back({ { service.id, failure_domain_id("hakata"), 1 }, {} });
    first.shares.added.push_back({ { service.id, failure_domain_id("kokura"), 1 }, {} });
    const command_result applied = port.apply(makeProposal(++sequence, apply_declaration { first }));
    if (applied.verdict != command_verdict::Accepted) {
        std::printf("the first declaration was refused: %s\n", applied.message.c_str());
        return;
    }
    for (int i = 0; i < upstreams; ++i)
        applyAccepted(port, ++sequence, upstream_joined { makeAnnouncement(i) });
    std::uint64_t number = 1;
    const double change = meanNanoseconds(200, [&] {
        ++number;
        applyAccepted(port, ++sequence, apply_declaration { makeChange(number) });
    });
    std::uint64_t key = 0;
    const double claim = meanNanoseconds(rounds, [&] {
        claim_key command { service_id("booking"), idempotency_key("key" + std::to_string(++key)),
            request_fingerprint(1), std::chrono::hours(1) };
        applyAccepted(port, ++sequence, command);
    });
    const double table = meanNanoseconds(20, [&] { makeUpstreamTable(port.state()); });
    std::printf("wall time with %5d upstreams: declaration %8.0f ns, claim %6.0f ns, table of upstreams %10.0f ns\n",
        upstreams, change, claim, table);
}

} // namespace

int main()
{
    showMessages();
    showLargeMessages();
    showState();
    std::puts("applying a command:");
    for (const int upstreams : { 36, 360, 3600 })
        showApplyTimes(upstreams);
    return 0;
}
