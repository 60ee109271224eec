#include <algorithm>
#include <ctime>
#include <fstream>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include "codec/msgpack_codec.h"
#include "codec/peer_message_codec.h"
#include "error/descriptor_limit.h"
#include "error/slow_relay.h"
#include "kernel/kernel.h"
#include "ports/port_names.h"
#include "runtime/frame_stream.h"
#include "runtime/sockets.h"
#include "services/peer_sender.h"
#include "services/peer_transport.h"
#include "support/temporary_folder.h"

namespace plantainlatch {

namespace {

    constexpr std::uint16_t firstPort = 21870;
    constexpr duration waitLimit = std::chrono::seconds(5);

    /** VMs e1 and e2 on one event loop, each with its own shared key file. */
    class peer_transport_fixture {
    protected:
        struct node {
            std::string keyFile;
            std::unique_ptr<kernel> core;
            std::unique_ptr<peer_transport> transport;
            std::vector<peer_message> received;
        };

        peer_transport_fixture()
        {
            for (const char* id : { "e1", "e2" }) {
                vm_record record;
                record.id = vm_id(id);
                record.peerAddress = addressAt(vms.size());
                vms.push_back(record);
            }
        }

        ~peer_transport_fixture()
        {
            for (auto& [id, item] : nodes)
                item.core->stop([] {});
        }

        /** Four addresses of this process; the VMs have the first two. */
        static network_address addressAt(std::size_t position)
        {
            return { "127.0.0.1", static_cast<std::uint16_t>(firstPort + position + (getpid() % 2000) * 4) };
        }

        void start(const std::string& id, const std::string& key)
        {
            node& item = nodes[id];
            item.keyFile = folder.file(id + ".key");
            std::ofstream(item.keyFile) << key;
            vm_settings settings;
            settings.vms = vms;
            settings.self = id == "e1" ? vms[0] : vms[1];
            settings.sharedKeyFile = item.keyFile;
            item.core = *kernel::create(loop->hooks([this](const log_event& event) { logLines.push_back(event); }));
            item.transport = *peer_transport::create(*loop, item.core->hooks(), settings, options);
            item.core->add(item.transport->asService());
            REQUIRE(item.core->start().ok());
            portOf(id).setReceiver(
                [&item](const vm_id&, const peer_message& message) { item.received.push_back(message); });
        }

        peer_port& portOf(const std::string& id)
        {
            return **nodes[id].core->services().find<peer_port>(port_names::peers);
        }

        /** Runs the loop until the condition holds or the timeout expires; returns whether it holds. */
        bool runUntil(const std::function<bool()>& condition, duration timeout = waitLimit)
        {
            const kernel_hooks hooks = loop->hooks([](const log_event&) {});
            const time_point end = hooks.now() + timeout;
            std::function<void()> poll = [&] {
                if (condition() || hooks.now() >= end)
                    loop->stop();
                else
                    hooks.schedule(std::chrono::milliseconds(5), poll);
            };
            hooks.schedule(duration::zero(), poll);
            loop->run();
            return condition();
        }

        static peer_message numbered(std::uint64_t number)
        {
            heartbeat_answer answer;
            answer.sequence = number;
            return control_message(answer);
        }

        /** A message of so many bytes that stays as large when it is compressed. */
        static peer_message incompressible(std::size_t size)
        {
            std::mt19937 random(1);
            snapshot_request request;
            std::string& document = request.snapshot.state.config.document;
            while (document.size() < size)
                document += static_cast<char>(random());
            return consensus_message(std::move(request));
        }

        /** The number of connections that a VM has accepted. */
        std::int64_t receiverCount(const std::string& id)
        {
            const state_dump dump = nodes[id].transport->asService().dump();
            const auto receivers = std::find_if(dump.children.begin(), dump.children.end(),
                [](const state_dump& child) { return child.name == "receivers"; });
            return std::get<std::int64_t>(receivers->value);
        }

        bool logged(const std::string& what) const
        {
            return std::any_of(
                logLines.begin(), logLines.end(), [&](const log_event& event) { return event.what == what; });
        }

        bool sawUnauthenticated() const { return logged("a connection was not authenticated"); }

        temporary_folder folder;
        std::unique_ptr<event_loop> loop = *event_loop::create(7);
        std::vector<vm_record> vms;
        peer_transport_options options;
        std::map<std::string, node> nodes;
        std::vector<log_event> logLines;
        const std::string goodKey = "0123456789abcdef0123456789abcdef";
    };

    /** VMs e1 and e2 with short time-outs; what e1 sends to e2 passes through a relay with limited bandwidth. */
    class slow_link_fixture : public peer_transport_fixture {
    protected:
        static constexpr std::size_t bytesPerSecond = 800'000;

        slow_link_fixture()
        {
            options.pingInterval = std::chrono::milliseconds(50);
            options.silenceTimeout = std::chrono::milliseconds(500);
            start("e2", goodKey);
            vms[1].peerAddress = relayAddress;
            start("e1", goodKey);
            portOf("e1").send(vm_id("e2"), numbered(1));
            REQUIRE(runUntil([&] { return nodes["e2"].received.size() == 1; }));
        }

        /** Sends a message of `count` random bytes, which compression doesn't shorten. */
        void sendBytes(std::size_t count)
        {
            std::string bytes(count, '\0');
            std::ranges::generate(bytes, [this] { return static_cast<char>(random()); });
            forwarded_announcement message;
            message.announcement.id = upstream_id(std::move(bytes));
            portOf("e1").send(vm_id("e2"), control_message(message));
        }

        bool sawSilence() const
        {
            return std::ranges::any_of(logLines, [](const log_event& event) {
                return event.fields.back().value == "no ping was answered within the time-out";
            });
        }

        std::mt19937 random { 7 };
        const network_address relayAddress = addressAt(2);
        slow_relay relay { *loop, relayAddress, vms[1].peerAddress, bytesPerSecond };
    };

} // namespace

TEST_CASE_METHOD(slow_link_fixture, "peer_transport.messages_that_take_longer_than_the_time_out.keep_the_connection")
{
    constexpr std::size_t count = 20;
    for (std::size_t sent = 0; sent < count; ++sent)
        sendBytes(bytesPerSecond / 16);
    REQUIRE(runUntil([&] { return nodes["e2"].received.size() == 1 + count; }));
    REQUIRE(relay.accepted() == 1);
}

TEST_CASE_METHOD(slow_link_fixture, "peer_transport.message_that_takes_longer_than_the_time_out.is_delivered")
{
    sendBytes(bytesPerSecond);
    REQUIRE(runUntil([&] { return nodes["e2"].received.size() == 2; }));
    REQUIRE(relay.accepted() == 1);
}

TEST_CASE_METHOD(peer_transport_fixture, "peer_transport.handshake_of_single_bytes.ends_at_its_time_out")
{
    options.handshakeTimeout = std::chrono::milliseconds(300);
    start("e2", goodKey);
    slow_relay trickle(*loop, addressAt(3), vms[1].peerAddress, 50);
    bool closed = false;
    frame_stream_events events;
    events.onClosed = [&](const absl::Status&) { closed = true; };
    const auto stream = *frame_stream::connect(*loop, addressAt(3), 1024, events);
    stream->send(
        msgpack_codec::encode(peer_hello { peerProtocolVersion, vm_id("e1"), vm_id("e2"), std::string(900, 'x') }));
    REQUIRE(runUntil([&] { return closed; }, options.handshakeTimeout * 3));
}

TEST_CASE_METHOD(slow_link_fixture, "peer_transport.peer_that_freezes.is_disconnected_with_its_backlog_full")
{
    // More than the socket buffers hold, so that bytes wait in the stream as well.
    for (int sent = 0; sent < 64; ++sent)
        sendBytes(bytesPerSecond / 4);
    REQUIRE_FALSE(runUntil([&] { return sawSilence(); }, options.silenceTimeout * 3 / 2));
    REQUIRE(relay.accepted() == 1);
    relay.freeze();
    REQUIRE(runUntil([&] { return sawSilence(); }, options.silenceTimeout * 3 / 2));
}

TEST_CASE_METHOD(peer_transport_fixture, "peer_transport.two_vms_with_the_same_key.exchange_messages_in_order")
{
    start("e1", goodKey);
    start("e2", goodKey);
    std::uint64_t sent = 0;
    REQUIRE(runUntil([&] {
        if (nodes["e2"].received.size() < 3)
            portOf("e1").send(vm_id("e2"), numbered(++sent));
        return nodes["e2"].received.size() >= 3;
    }));
    std::uint64_t last = 0;
    for (const peer_message& message : nodes["e2"].received) {
        const auto number = std::get<heartbeat_answer>(std::get<control_message>(message)).sequence;
        REQUIRE(number > last);
        last = number;
    }
}

TEST_CASE_METHOD(peer_transport_fixture, "peer_transport.large_message_after_small_ones.is_delivered_as_it_was_sent")
{
    start("e1", goodKey);
    start("e2", goodKey);
    snapshot_request large;
    large.snapshot.state.config.document = std::string(1'000'000, 'x');
    REQUIRE(runUntil([&] {
        portOf("e1").send(vm_id("e2"), numbered(1));
        return !nodes["e2"].received.empty();
    }));
    portOf("e1").send(vm_id("e2"), consensus_message(large));
    REQUIRE(runUntil([&] { return std::holds_alternative<consensus_message>(nodes["e2"].received.back()); }));
    REQUIRE(msgpack_codec::encode(nodes["e2"].received.back())
        == msgpack_codec::encode(peer_message(consensus_message(large))));
}

TEST_CASE_METHOD(peer_transport_fixture, "peer_transport.message_during_the_handshake.is_delivered_after_it")
{
    start("e2", goodKey);
    start("e1", goodKey);
    portOf("e1").send(vm_id("e2"), numbered(1));
    REQUIRE(runUntil([&] { return !nodes["e2"].received.empty(); }));
}

TEST_CASE_METHOD(
    peer_transport_fixture, "peer_transport.peer_that_connects.is_reached_without_waiting_for_the_next_attempt")
{
    options.minimumReconnectDelay = std::chrono::hours(1);
    options.maximumReconnectDelay = std::chrono::hours(1);
    start("e1", goodKey);
    REQUIRE(runUntil([&] { return !logLines.empty(); }));
    REQUIRE(logLines.back().what == "no connection to a VM");
    start("e2", goodKey);
    REQUIRE(runUntil([&] {
        portOf("e1").send(vm_id("e2"), numbered(1));
        return !nodes["e2"].received.empty();
    }));
}

TEST_CASE_METHOD(peer_transport_fixture, "peer_transport.vm_with_another_key.delivers_nothing")
{
    start("e1", "another key of thirty-two bytes....");
    start("e2", goodKey);
    REQUIRE(runUntil([&] {
        portOf("e1").send(vm_id("e2"), numbered(1));
        return logLines.size() >= 2;
    }));
    REQUIRE(nodes["e2"].received.empty());
    REQUIRE(nodes["e1"].received.empty());
}

TEST_CASE_METHOD(peer_transport_fixture, "peer_transport.forged_or_replayed_handshake.delivers_nothing")
{
    start("e2", goodKey);
    peer_hello hello { peerProtocolVersion, vm_id("e1"), vm_id("e2"), "recorded nonce" };
    const shared_key key = *shared_key::create(goodKey);
    // Replays an earlier session: the proof is valid, but for another nonce of the accepting side.
    frame_authenticator seal(key, handshake_role::Connecting, hello, "earlier nonce");
    const std::string proof = handshakeProof(key, handshake_role::Connecting, hello, "earlier nonce");
    bool closed = false;
    std::unique_ptr<frame_stream> stream;
    frame_stream_events events;
    events.onFrame = [&](const std::string&) {
        stream->send(msgpack_codec::encode(peer_proof { proof }));
        stream->send(seal.seal("m" + (*peer_message_codec::create())->encode(numbered(9))));
    };
    events.onClosed = [&](const absl::Status&) { closed = true; };
    stream = *frame_stream::connect(*loop, vms[1].peerAddress, 1024, events);
    stream->send(msgpack_codec::encode(hello));
    REQUIRE(runUntil([&] { return closed; }));
    REQUIRE(sawUnauthenticated());
    REQUIRE(nodes["e2"].received.empty());
}

TEST_CASE_METHOD(peer_transport_fixture, "peer_transport.hello_of_another_version.gets_no_challenge")
{
    start("e2", goodKey);
    bool challenged = false;
    bool closed = false;
    frame_stream_events events;
    events.onFrame = [&](const std::string&) { challenged = true; };
    events.onClosed = [&](const absl::Status&) { closed = true; };
    const auto stream = *frame_stream::connect(*loop, vms[1].peerAddress, 1024, events);
    const peer_hello hello { peerProtocolVersion - 1, vm_id("e1"), vm_id("e2"), "nonce" };
    stream->send(msgpack_codec::encode(hello));
    REQUIRE(runUntil([&] { return closed; }));
    REQUIRE_FALSE(challenged);
    REQUIRE(sawUnauthenticated());
}

TEST_CASE_METHOD(peer_transport_fixture, "peer_transport.connection_without_a_free_descriptor.waits_until_there_is_one")
{
    // Without another VM, no connection attempt of e1 frees a descriptor.
    vms.resize(1);
    start("e1", goodKey);
    const int caller = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in remote = toSocketAddress(vms[0].peerAddress);
    REQUIRE(connect(caller, reinterpret_cast<const sockaddr*>(&remote), sizeof(remote)) == 0);
    {
        const descriptor_limit limit;
        const std::clock_t before = std::clock();
        runUntil([] { return false; }, std::chrono::milliseconds(400));
        const double processorSeconds = static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
        REQUIRE(processorSeconds < 0.1);
    }
    REQUIRE(logged("accepts nothing for now"));
    REQUIRE(receiverCount("e1") == 0);
    REQUIRE(runUntil([this] { return receiverCount("e1") == 1; }));
    close(caller);
}

// Guards against strangers that use up the descriptors of a VM, and against their replacing VMs that are known.
TEST_CASE_METHOD(peer_transport_fixture, "peer_transport.unauthenticated_connections.replace_each_other")
{
    options.maximumUnauthenticated = 4;
    start("e1", goodKey);
    start("e2", goodKey);
    const auto messageArrives = [&] {
        portOf("e2").send(vm_id("e1"), numbered(1));
        return !nodes["e1"].received.empty();
    };
    REQUIRE(runUntil(messageArrives));
    std::vector<std::unique_ptr<frame_stream>> strangers(20);
    for (auto& stranger : strangers)
        stranger = *frame_stream::connect(*loop, vms[0].peerAddress, 1024, {});
    runUntil([] { return false; }, std::chrono::milliseconds(200));
    REQUIRE(receiverCount("e1") == 5);
    nodes["e1"].received.clear();
    REQUIRE(runUntil(messageArrives));
}

// Guards against messages to slow VMs that take the memory of the process.
TEST_CASE_METHOD(
    peer_transport_fixture, "peer_transport.message_without_memory.is_dropped_and_small_ones_are_delivered")
{
    buffer_budget budget(loop->hooks([](const log_event&) {}), { byte_count(0), byte_count(0), {}, byte_count(1'000) });
    buffer_lease others(budget, buffer_use::PeerOutput, {});
    REQUIRE(others.resize(1'000, false));
    options.budget = &budget;
    start("e1", goodKey);
    start("e2", goodKey);
    REQUIRE(runUntil([&] {
        portOf("e1").send(vm_id("e2"), incompressible(200'000));
        portOf("e1").send(vm_id("e2"), numbered(1));
        return nodes["e2"].received.size() >= 3;
    }));
    const auto isLarge = [](const peer_message& message) { return std::holds_alternative<consensus_message>(message); };
    REQUIRE(std::none_of(nodes["e2"].received.begin(), nodes["e2"].received.end(), isLarge));
    others.release();
    REQUIRE(runUntil([&] {
        portOf("e1").send(vm_id("e2"), incompressible(200'000));
        return std::any_of(nodes["e2"].received.begin(), nodes["e2"].received.end(), isLarge);
    }));
    REQUIRE(runUntil([&] { return budget.held() == 0; }));
}

// Guards against messages that arrive from many VMs at once and take the memory of the process.
TEST_CASE_METHOD(peer_transport_fixture, "peer_transport.incoming_message_without_memory.closes_its_connection")
{
    buffer_budget budget(loop->hooks([](const log_event&) {}), { byte_count(0), byte_count(0), {}, byte_count(1'000) });
    buffer_lease others(budget, buffer_use::PeerInput, {});
    start("e1", goodKey);
    options.budget = &budget;
    start("e2", goodKey);
    REQUIRE(others.resize(1'000, false));
    REQUIRE(runUntil([&] {
        portOf("e1").send(vm_id("e2"), incompressible(200'000));
        return budget.refused() > 0;
    }));
    REQUIRE(nodes["e2"].received.empty());
    others.release();
    REQUIRE(runUntil([&] {
        portOf("e1").send(vm_id("e2"), incompressible(200'000));
        return !nodes["e2"].received.empty();
    }));
    REQUIRE(runUntil([&] { return budget.held() == 0; }));
}

TEST_CASE_METHOD(peer_transport_fixture, "peer_transport.address_in_use.fails_the_start_with_the_address")
{
    start("e1", goodKey);
    vm_settings settings;
    settings.vms = vms;
    settings.self = vms[0];
    settings.sharedKeyFile = nodes["e1"].keyFile;
    auto second = *kernel::create(loop->hooks([](const log_event&) {}));
    auto transport = *peer_transport::create(*loop, second->hooks(), settings);
    second->add(transport->asService());
    const absl::Status status = second->start();
    REQUIRE(status.code() == absl::StatusCode::kAlreadyExists);
    REQUIRE_THAT(std::string(status.message()), Catch::Contains(formatAddress(vms[0].peerAddress)));
}

TEST_CASE("frame_authenticator.frame_reordered_changed_or_replayed.is_unauthenticated")
{
    const shared_key key = *shared_key::create("0123456789abcdef0123456789abcdef");
    const peer_hello hello { 1, vm_id("e1"), vm_id("e2"), "nonce" };
    frame_authenticator sender(key, handshake_role::Connecting, hello, "other");
    const std::string first = sender.seal("one");
    const std::string second = sender.seal("two");
    frame_authenticator receiver(key, handshake_role::Connecting, hello, "other");
    REQUIRE_FALSE(receiver.open(second).ok());
    REQUIRE(*receiver.open(first) == "one");
    REQUIRE_FALSE(receiver.open(first).ok());
    std::string changed = second;
    changed.back() = 'x';
    REQUIRE_FALSE(receiver.open(changed).ok());
    REQUIRE(*receiver.open(second) == "two");
}

} // namespace plantainlatch
