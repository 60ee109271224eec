/** \file
 * Measures the cost of the HTTP front end without any routing decisions. One program with three roles, which
 * run_hop_benchmark starts as three processes:
 *
 *   hop_benchmark upstream PORT              answers each request with a small body
 *   hop_benchmark front PORT UPSTREAM_PORT   forwards /s/..., answers /v1/entries, reports its processor time at /cpu
 *   hop_benchmark load PORT PATH CONNECTIONS SECONDS ANSWER_BODY_BYTES   closed-loop load; prints rate and latencies
 */

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/resource.h>

#include "kernel/kernel.h"
#include "ports/port_names.h"
#include "runtime/event_loop.h"
#include "services/caller_front.h"
#include "services/http_server.h"
#include "services/metrics.h"
#include "services/upstream_client.h"

namespace plantainlatch {

namespace {

    constexpr const char* host = "127.0.0.1";
    constexpr std::uint32_t upstreamConnections = 512;
    constexpr duration callTimeout = std::chrono::seconds(5);
    constexpr std::string_view headEnd = "\r\n\r\n";

    sockaddr_in loopback(std::uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    /** Removes one message with a head and a body of `body` bytes; false if it has not arrived completely. */
    bool removeMessage(evbuffer* input, std::size_t body)
    {
        const evbuffer_ptr end = evbuffer_search(input, headEnd.data(), headEnd.size(), nullptr);
        if (end.pos < 0)
            return false;
        const std::size_t size = static_cast<std::size_t>(end.pos) + headEnd.size() + body;
        if (evbuffer_get_length(input) < size)
            return false;
        evbuffer_drain(input, size);
        return true;
    }

    /** The body is also a valid load report of an idle upstream. */
    constexpr std::string_view upstreamAnswer
        = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 64\r\n\r\n"
          R"({"running":0,"queued":0,"draining":false}                       )";

    int runUpstream(event_loop& loop, std::uint16_t port)
    {
        const auto accepted = [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* base) {
            bufferevent* channel
                = bufferevent_socket_new(static_cast<event_base*>(base), socket, BEV_OPT_CLOSE_ON_FREE);
            bufferevent_setcb(
                channel,
                [](bufferevent* handle, void*) {
                    while (removeMessage(bufferevent_get_input(handle), 0))
                        bufferevent_write(handle, upstreamAnswer.data(), upstreamAnswer.size());
                },
                nullptr, [](bufferevent* handle, short, void*) { bufferevent_free(handle); }, nullptr);
            bufferevent_enable(channel, EV_READ | EV_WRITE);
        };
        sockaddr_in local = loopback(port);
        evconnlistener* listener = evconnlistener_new_bind(loop.base(), accepted, loop.base(),
            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 1024, reinterpret_cast<sockaddr*>(&local), sizeof(local));
        if (listener == nullptr)
            return 1;
        loop.run();
        evconnlistener_free(listener);
        return 0;
    }

    template <typename Port> service published(const char* name, Port& port)
    {
        service item;
        item.name = name;
        item.start = [name, &port](registry& services) { return services.publish(name, port); };
        return item;
    }

    /** A request port that forwards each request to one upstream. */
    request_port forwardTo(upstream_port& upstreams, const network_address& address)
    {
        request_port port;
        port.submit = [&upstreams, address, last = std::uint64_t(0)](
                          caller_request request, const std::function<void(caller_answer)>& done) mutable {
            upstream_call call;
            call.id = call_id(++last);
            call.address = address;
            call.method = std::move(request.method);
            call.target = std::move(request.target);
            call.headers = std::move(request.headers);
            call.body = std::move(request.body);
            call.timeout = callTimeout;
            call.connectionLimit = upstreamConnections;
            call_events events;
            events.onAnswer = [done](upstream_answer answer) {
                caller_answer result;
                result.result = outcome::Completed;
                result.content = std::move(answer);
                done(std::move(result));
            };
            events.onFailure = [done](call_failure) {
                caller_answer result;
                result.result = outcome::Unknown;
                result.content.status = 502;
                done(std::move(result));
            };
            upstreams.start(std::move(call), std::move(events));
            return request_id(last);
        };
        port.cancel = [&upstreams](request_id id) { upstreams.cancel(call_id(id.value())); };
        return port;
    }

    std::string processorTime()
    {
        rusage usage {};
        getrusage(RUSAGE_SELF, &usage);
        const double user
            = static_cast<double>(usage.ru_utime.tv_sec) + 1e-6 * static_cast<double>(usage.ru_utime.tv_usec);
        const double system
            = static_cast<double>(usage.ru_stime.tv_sec) + 1e-6 * static_cast<double>(usage.ru_stime.tv_usec);
        return std::to_string(user) + " " + std::to_string(system) + "\n";
    }

    entry_list_port sevenEntries()
    {
        entry_list_port port;
        port.list = [](const failure_domain_id& near) {
            entry_list list;
            for (std::uint16_t i = 0; i < 7; ++i) {
                vm_record vm;
                vm.id = vm_id("entry-" + std::to_string(i));
                vm.region = region_id("fukuoka");
                vm.failureDomain = near;
                vm.callerAddress = { host, static_cast<std::uint16_t>(8000 + i) };
                list.entries.push_back({ vm, 1 });
            }
            list.cacheTime = std::chrono::seconds(2);
            return list;
        };
        port.onChange = [](const std::function<void()>&) {};
        return port;
    }

    int runFront(event_loop& loop, std::uint16_t port, std::uint16_t upstreamPort)
    {
        const kernel_hooks hooks = loop.hooks([](const log_event&) {});
        vm_settings settings;
        settings.self.id = vm_id("bench");
        auto server = http_server::create(loop.base(), hooks, { host, port });
        if (!server.ok())
            return 1;
        const auto upstreams = upstream_client::create(loop.base(), hooks);
        const auto numbers = metrics::create();
        const auto callers = caller_front::create(hooks, settings);
        request_port requests = forwardTo(upstreams->port(), { host, upstreamPort });
        entry_list_port entries = sevenEntries();
        const auto core = *kernel::create(hooks);
        core->add(published(port_names::requests, requests));
        core->add(published(port_names::entryList, entries));
        core->add((*server)->asService());
        core->add(numbers->asService());
        core->add(callers->asService());
        if (!core->start().ok())
            return 1;
        (*server)->addRoute({ "/cpu",
            [&](exchange_id exchange, const http_request_view&) {
                (*server)->respond(exchange, encodeAnswer(200, {}, processorTime()));
            },
            nullptr });
        loop.run();
        return 0;
    }

    /** Closed-loop load: sends the next request on a connection as soon as the previous one is answered. */
    class load_run {
    public:
        load_run(event_loop& loop, std::string request, std::size_t answerBody)
            : m_hooks(loop.hooks([](const log_event&) {}))
            , m_base(loop.base())
            , m_request(std::move(request))
            , m_answerBody(answerBody)
        {
        }

        void connect(std::uint16_t port)
        {
            auto added = std::make_unique<channel>();
            added->owner = this;
            added->handle = bufferevent_socket_new(m_base, -1, BEV_OPT_CLOSE_ON_FREE);
            bufferevent_setcb(
                added->handle, [](bufferevent*, void* item) { received(*static_cast<channel*>(item)); }, nullptr,
                [](bufferevent*, short events, void* item) {
                    if ((events & BEV_EVENT_CONNECTED) != 0)
                        send(*static_cast<channel*>(item));
                    else
                        ++static_cast<channel*>(item)->owner->m_lost;
                },
                added.get());
            bufferevent_enable(added->handle, EV_READ | EV_WRITE);
            sockaddr_in remote = loopback(port);
            bufferevent_socket_connect(added->handle, reinterpret_cast<sockaddr*>(&remote), sizeof(remote));
            m_channels.push_back(std::move(added));
        }

        void print(double seconds)
        {
            std::sort(m_latencies.begin(), m_latencies.end());
            std::printf("requests %zu rate %.0f/s p50 %.1f us p99 %.1f us p99.9 %.1f us lost %zu\n", m_latencies.size(),
                static_cast<double>(m_latencies.size()) / seconds, quantile(0.5), quantile(0.99), quantile(0.999),
                m_lost);
        }

    private:
        struct channel {
            load_run* owner = nullptr;
            bufferevent* handle = nullptr;
            time_point sent {};
        };

        static void send(channel& item)
        {
            item.sent = item.owner->m_hooks.now();
            bufferevent_write(item.handle, item.owner->m_request.data(), item.owner->m_request.size());
        }

        static void received(channel& item)
        {
            if (!removeMessage(bufferevent_get_input(item.handle), item.owner->m_answerBody))
                return;
            const duration latency = item.owner->m_hooks.now() - item.sent;
            item.owner->m_latencies.push_back(std::chrono::duration<double, std::micro>(latency).count());
            send(item);
        }

        double quantile(double part) const
        {
            if (m_latencies.empty())
                return 0;
            return m_latencies[static_cast<std::size_t>(part * static_cast<double>(m_latencies.size() - 1))];
        }

        kernel_hooks m_hooks;
        event_base* m_base;
        std::string m_request;
        std::size_t m_answerBody;
        std::vector<std::unique_ptr<channel>> m_channels;
        std::vector<double> m_latencies;
        std::size_t m_lost = 0;
    };

    int runLoad(event_loop& loop, const std::vector<std::string>& arguments)
    {
        const auto port = static_cast<std::uint16_t>(std::stoul(arguments[1]));
        const std::string& path = arguments[2];
        const std::size_t connections = std::min<std::size_t>(std::stoul(arguments[3]), upstreamConnections);
        const double seconds = std::min(std::stod(arguments[4]), 60.0);
        const std::size_t body = std::stoul(arguments[5]);
        load_run run(loop, "GET " + path + " HTTP/1.1\r\nHost: bench\r\nAccept: */*\r\n\r\n", body);
        for (std::size_t i = 0; i < connections; ++i)
            run.connect(port);
        const kernel_hooks hooks = loop.hooks([](const log_event&) {});
        hooks.schedule(
            std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds)), [&loop] { loop.stop(); });
        loop.run();
        run.print(seconds);
        return 0;
    }

    int runRole(const std::vector<std::string>& arguments)
    {
        const auto loop = *event_loop::create(1);
        const std::string role = arguments.empty() ? "" : arguments[0];
        if (role == "upstream" && arguments.size() == 2)
            return runUpstream(*loop, static_cast<std::uint16_t>(std::stoul(arguments[1])));
        if (role == "front" && arguments.size() == 3)
            return runFront(*loop, static_cast<std::uint16_t>(std::stoul(arguments[1])),
                static_cast<std::uint16_t>(std::stoul(arguments[2])));
        if (role == "load" && arguments.size() == 6)
            return runLoad(*loop, arguments);
        std::fputs("usage: hop_benchmark upstream PORT | front PORT UPSTREAM_PORT |\n"
                   "       load PORT PATH CONNECTIONS SECONDS ANSWER_BODY_BYTES\n",
            stderr);
        return 2;
    }

} // namespace

} // namespace plantainlatch

int main(int argumentCount, char** arguments)
{
    return plantainlatch::runRole({ arguments + 1, arguments + argumentCount });
}
