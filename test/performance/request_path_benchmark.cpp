/** \file
 * Measures the wall time of the decision code for one request, with ports that answer immediately.
 */

#include <chrono>
#include <cstdio>
#include <string>

#include "decision/control/key_table.h"
#include "decision/request/request_fingerprint.h"
#include "decision/request/request_service.h"
#include "kernel/kernel.h"
#include "ports/port_names.h"
#include "support/paused_runtime.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    constexpr int warmUpRequests = 20'000;
    constexpr int measuredRequests = 70'000;

    /** Ports that call their callbacks before they return. */
    class instant_ports {
    public:
        instant_ports()
        {
            service_definition definition;
            definition.id = service_id("taller");
            definition.connections = 390;
            definition.defaultDeadline = 1s;
            definition.maximumDeadline = 10s;
            definition.maximumBody = byte_count(1024);
            definition.keyRetention = 1h;
            m_state.config.services.emplace(definition.id, definition);
            m_upstream.id = upstream_id("taller-1");
            m_upstream.address = { "127.0.0.1", 9000 };
            control.state = [this]() -> const control_snapshot& { return m_state; };
            consensus.propose = [this](const control_command& command, duration,
                                    const std::function<void(absl::StatusOr<command_result>)>& done) {
                return propose(command, done);
            };
            slots.acquire = [this](const slot_request&, const std::function<void(slot_answer)>& given) {
                given({ held_slot { slot_handle(++m_last), m_upstream, time_point::max() }, {} });
                return slot_ticket();
            };
            slots.cancelWait = [](slot_ticket) {};
            slots.release = [](slot_handle, const slot_result&) {};
            upstreams.start = [](const upstream_call&, const call_events& events) {
                events.onDispatch();
                events.onAnswer({ 200, {}, "answer" });
            };
            upstreams.cancel = [](call_id) {};
        }

        control_port control;
        consensus_port consensus;
        slot_port slots;
        upstream_port upstreams;

    private:
        proposal_id propose(
            const control_command& command, const std::function<void(absl::StatusOr<command_result>)>& done)
        {
            const proposal item { { vm_id("vm-1"), incarnation(1), ++m_last }, {}, command };
            if (const auto* claim = std::get_if<claim_key>(&command))
                done(applyClaim(m_state.keys, item, *claim));
            else if (const auto* settle = std::get_if<settle_key>(&command))
                done(applySettle(m_state.keys, item, *settle));
            return item.id;
        }

        control_snapshot m_state;
        upstream_announcement m_upstream;
        std::uint64_t m_last = 0;
    };

    template <typename Port> void addPort(kernel& core, const std::string& name, Port& port)
    {
        service item;
        item.name = name;
        item.start = [name, &port](registry& services) { return services.publish(name, port); };
        core.add(std::move(item));
    }

    /** A request service on instant_ports. */
    class benchmark {
    public:
        benchmark()
        {
            vm_settings settings;
            settings.vms.resize(7);
            m_core = *kernel::create(m_runtime.hooks());
            m_requests = *request_service::create(m_runtime.hooks(), settings);
            addPort(*m_core, port_names::control, m_ports.control);
            addPort(*m_core, port_names::consensus, m_ports.consensus);
            addPort(*m_core, port_names::slots, m_ports.slots);
            addPort(*m_core, port_names::upstreams, m_ports.upstreams);
            m_core->add(m_requests->asService());
            if (!m_core->start().ok())
                std::abort();
            m_port = *m_core->services().find<request_port>(port_names::requests);
        }

        /** Sends requests that `make` creates, and returns the mean wall time for one in nanoseconds. */
        template <typename Make> double measure(Make make)
        {
            for (int i = 0; i < warmUpRequests; ++i)
                send(make(m_next++));
            const auto begin = std::chrono::steady_clock::now();
            for (int i = 0; i < measuredRequests; ++i)
                send(make(m_next++));
            const std::chrono::duration<double, std::nano> span = std::chrono::steady_clock::now() - begin;
            return span.count() / measuredRequests;
        }

        std::uint64_t answers = 0;

    private:
        void send(caller_request request)
        {
            m_port->submit(std::move(request),
                [this](const caller_answer& answer) { answers += answer.result == outcome::Completed ? 1 : 0; });
        }

        paused_runtime m_runtime { 1 };
        instant_ports m_ports;
        std::unique_ptr<kernel> m_core;
        std::unique_ptr<request_service> m_requests;
        request_port* m_port = nullptr;
        std::uint64_t m_next = 0;
    };

    caller_request requestOf(const char* method, std::string target)
    {
        caller_request request;
        request.service = service_id("taller");
        request.method = method;
        request.target = std::move(target);
        request.headers = { { "Host", "127.0.0.1" }, { "Accept", "application/json" } };
        return request;
    }

    void print(const char* what, double nanoseconds)
    {
        std::printf("%-44s %8.0f ns of wall time per request\n", what, nanoseconds);
    }

    double fingerprintCost()
    {
        caller_request request = requestOf("POST", "/orders");
        std::string body(1024, 'x');
        std::uint64_t sum = 0;
        const auto begin = std::chrono::steady_clock::now();
        for (int i = 0; i < measuredRequests; ++i) {
            body[0] = static_cast<char>(i);
            request.body = body;
            sum += fingerprintOf(request).value();
        }
        const std::chrono::duration<double, std::nano> span = std::chrono::steady_clock::now() - begin;
        return span.count() / measuredRequests + (sum == 0 ? 1 : 0);
    }

} // namespace

} // namespace plantainlatch

int main()
{
    using namespace plantainlatch;
    print("fingerprint of 1 KiB", fingerprintCost());
    {
        benchmark subject;
        print("identical look-ups", subject.measure([](std::uint64_t) { return requestOf("GET", "/courts"); }));
    }
    {
        benchmark subject;
        print("look-ups, all different", subject.measure([](std::uint64_t number) {
            return requestOf("GET", "/frames/" + std::to_string(number));
        }));
    }
    {
        benchmark subject;
        print("orders with a key, key table up to its maximum size", subject.measure([](std::uint64_t number) {
            caller_request request = requestOf("POST", "/orders/" + std::to_string(number));
            request.key = idempotency_key("key-" + std::to_string(number));
            return request;
        }));
    }
    return 0;
}
