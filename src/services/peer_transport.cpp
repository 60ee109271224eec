#include "services/peer_transport.h"

#include <algorithm>
#include <cstring>
#include <map>
#include <set>
#include <utility>

#include "codec/peer_message_codec.h"
#include "ports/port_names.h"
#include "runtime/frame_stream.h"
#include "runtime/tcp_listener.h"
#include "services/peer_receiver.h"
#include "services/peer_sender.h"

namespace plantainlatch {

namespace {

    /** The maximum number of accepted connections; further ones are closed at once. */
    constexpr std::size_t maximumReceivers = 4096;
    constexpr std::size_t unauthenticatedDivisor = 32;
    constexpr std::size_t leastUnauthenticated = 8;

} // namespace

std::size_t unauthenticatedLimit(std::size_t maximumDescriptors)
{
    return std::clamp(maximumDescriptors / unauthenticatedDivisor, leastUnauthenticated, maximumReceivers);
}

struct peer_transport::implementation {
    event_loop& loop;
    const kernel_hooks& hooks;
    vm_settings settings;
    peer_transport_options options;
    shared_key key;
    given_or_own_budget budget;
    std::unique_ptr<peer_message_codec> codec;
    std::set<vm_id> known;
    std::function<bool(const vm_id&)> isAllowedPeer;
    peer_port port;
    std::function<void(const vm_id&, peer_message)> deliver;
    std::unique_ptr<tcp_listener> listener;
    std::map<vm_id, std::unique_ptr<peer_sender>> senders;
    std::map<std::uint64_t, std::unique_ptr<peer_receiver>> receivers;
    std::uint64_t lastReceiverNumber = 0;
    /** The numbers of the receivers whose peers are not authenticated, in the order of their arrival. */
    std::set<std::uint64_t> unauthenticated;
    std::uint64_t malformed = 0;

    implementation(event_loop& eventLoop, const kernel_hooks& kernelHooks, const vm_settings& vmSettings,
        peer_transport_options transportOptions, shared_key sharedKey, std::unique_ptr<peer_message_codec> messageCodec)
        : loop(eventLoop)
        , hooks(kernelHooks)
        , settings(vmSettings)
        , options(transportOptions)
        , key(std::move(sharedKey))
        , budget(hooks, options.budget)
        , codec(std::move(messageCodec))
    {
        for (const vm_record& vm : settings.vms)
            known.insert(vm.id);
        isAllowedPeer = [this](const vm_id& vm) {
            return known.contains(vm)
                || (settings.membership == membership_mode::Seeded && parseAddress(vm.value()).ok());
        };
    }

    absl::Status start(registry& services)
    {
        tcp_listener_events events;
        events.onAccept = [this](int socket) { accepted(socket); };
        events.onPause = [this](int error) {
            hooks.log({ log_level::Warning, "peers", "accepts nothing for now", { { "why", std::strerror(error) } } });
        };
        absl::StatusOr<std::unique_ptr<tcp_listener>> created
            = tcp_listener::create(loop.base(), hooks, settings.self.peerAddress, std::move(events));
        if (!created.ok())
            return created.status();
        listener = std::move(*created);
        for (const vm_record& vm : settings.vms) {
            if (vm.id != settings.self.id)
                senders[vm.id] = peer_sender::create(loop, hooks, settings.self.id, vm, key, options, *budget);
        }
        port.send = [this](const vm_id& to, const peer_message& message) { send(to, message); };
        port.setReceiver
            = [this](std::function<void(const vm_id&, peer_message)> receiver) { deliver = std::move(receiver); };
        return services.publish(port_names::peers, port);
    }

    void stop()
    {
        listener.reset();
        senders.clear();
        receivers.clear();
        unauthenticated.clear();
    }

    void send(const vm_id& to, const peer_message& message)
    {
        if (to == settings.self.id) {
            hooks.schedule(duration::zero(), [this, message] { receive(settings.self.id, message); });
            return;
        }
        if (peer_sender* sender = senderTo(to))
            sender->send(codec->encode(message));
    }

    /** The connection to a VM; null if the VM is unknown. With seeded membership, the id of a VM is its peer address,
     * so a VM that is not in the settings can be reached as well. */
    peer_sender* senderTo(const vm_id& to)
    {
        const auto found = senders.find(to);
        if (found != senders.end())
            return found->second.get();
        const absl::StatusOr<network_address> address = parseAddress(to.value());
        if (settings.membership != membership_mode::Seeded || !address.ok())
            return nullptr;
        vm_record peer;
        peer.id = to;
        peer.peerAddress = *address;
        return senders.emplace(to, peer_sender::create(loop, hooks, settings.self.id, peer, key, options, *budget))
            .first->second.get();
    }

    void receive(const vm_id& from, const peer_message& message)
    {
        if (deliver)
            deliver(from, message);
    }

    void accepted(int socket)
    {
        if (receivers.size() >= maximumReceivers) {
            frame_stream::accept(loop, socket, maximumHandshakeBytes, {});
            return;
        }
        if (unauthenticated.size() >= options.maximumUnauthenticated)
            remove(*unauthenticated.begin());
        const std::uint64_t number = ++lastReceiverNumber;
        unauthenticated.insert(number);
        peer_receiver_events events;
        events.onConnected = [this, number](const vm_id& from) {
            unauthenticated.erase(number);
            if (peer_sender* sender = senderTo(from))
                sender->onPeerConnected();
        };
        events.onMessage = [this](const vm_id& from, const std::string& encoded) { received(from, encoded); };
        events.onClosed = [this, number](const absl::Status& why) { closed(number, why); };
        receivers[number] = peer_receiver::create(
            loop, hooks, socket, settings.self.id, isAllowedPeer, key, options, *budget, std::move(events));
    }

    void received(const vm_id& from, const std::string& encoded)
    {
        const absl::StatusOr<peer_message> message = codec->decode(encoded);
        if (message.ok()) {
            receive(from, *message);
            return;
        }
        ++malformed;
        hooks.log({ log_level::Warning, "peers", "a message has no known form",
            { { "from", from.value() }, { "why", std::string(message.status().message()) } } });
    }

    void closed(std::uint64_t number, const absl::Status& why)
    {
        if (absl::IsUnauthenticated(why))
            hooks.log({ log_level::Warning, "peers", "a connection was not authenticated",
                { { "why", std::string(why.message()) } } });
        // The receiver is calling this function, so it is destroyed only in the next iteration of the event loop.
        hooks.schedule(duration::zero(), [this, number] { remove(number); });
    }

    void remove(std::uint64_t number)
    {
        receivers.erase(number);
        unauthenticated.erase(number);
    }

    state_dump dump() const
    {
        state_dump root;
        state_dump& list = root.addList("senders");
        for (const auto& [id, sender] : senders) {
            state_dump& item = list.addObject(id.value());
            item.add("to", id.value());
            item.add("connected", sender->connected());
            item.add("dropped", sender->dropped());
        }
        root.add("receivers", static_cast<std::uint64_t>(receivers.size()));
        root.add("unauthenticated", static_cast<std::uint64_t>(unauthenticated.size()));
        root.add("malformed", malformed);
        root.add("codec_bytes", static_cast<std::uint64_t>(codec->keptMemory()));
        return root;
    }
};

peer_transport::peer_transport(std::unique_ptr<implementation> parts)
    : m_parts(std::move(parts))
{
}

peer_transport::~peer_transport() = default;

absl::StatusOr<std::unique_ptr<peer_transport>> peer_transport::create(
    event_loop& loop, const kernel_hooks& hooks, const vm_settings& settings, peer_transport_options options)
{
    if (settings.trustedNetwork)
        hooks.log({ log_level::Warning, "peers", "VMs are not authenticated: the settings trust the network", {} });
    absl::StatusOr<shared_key> key
        = settings.trustedNetwork ? shared_key::forTrustedNetwork() : shared_key::readFile(settings.sharedKeyFile);
    if (!key.ok())
        return key.status();
    absl::StatusOr<std::unique_ptr<peer_message_codec>> codec = peer_message_codec::create();
    if (!codec.ok())
        return codec.status();
    auto parts = std::make_unique<implementation>(loop, hooks, settings, options, std::move(*key), std::move(*codec));
    return std::unique_ptr<peer_transport>(new peer_transport(std::move(parts)));
}

service peer_transport::asService()
{
    implementation* parts = m_parts.get();
    service item;
    item.name = port_names::peers;
    item.start = [parts](registry& services) { return parts->start(services); };
    item.stop = [parts](const std::function<void()>& stopped) {
        parts->stop();
        stopped();
    };
    item.dump = [parts] { return parts->dump(); };
    return item;
}

} // namespace plantainlatch
