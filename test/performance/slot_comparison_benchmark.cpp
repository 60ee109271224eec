/** \file
 * Compares three ways to share slots under load, in virtual time: leased slots, one owning entry for each upstream, and
 * each entry's own guess. Upstreams are a slot count and a delay; above its slots an upstream gets slower in
 * proportion.
 */

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/internal_assert.h"
#include "decision/request/request_service.h"
#include "decision/slots/slot_service.h"
#include "kernel/kernel.h"
#include "ports/port_names.h"
#include "support/fake_log.h"
#include "support/fake_network.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t entryCount = 7;
    constexpr std::size_t regionCount = 3;
    constexpr std::size_t upstreamCount = 30;
    constexpr std::uint32_t slotsPerUpstream = 3;
    constexpr duration meanWork = 100ms;
    /** The mean of the exponential factor of the work after it is clamped. */
    constexpr double meanOfClampedFactor = 1.012;
    constexpr duration insideRegion = 1ms;
    constexpr duration betweenRegions = 12ms;
    constexpr duration callerDeadline = 1s;
    constexpr duration warmUp = 15s;
    constexpr duration measured = 15s;
    constexpr double orderShare = 0.1;
    /** Requests a second that all slots together can run. */
    constexpr double capacityPerSecond
        = upstreamCount * slotsPerUpstream / std::chrono::duration<double>(meanWork).count();

    enum class sharing { Leased, Owner, LocalGuess };

    const char* sharingName(sharing mode)
    {
        switch (mode) {
        case sharing::Leased:
            return "leased slots";
        case sharing::Owner:
            return "one owner, one hop";
        case sharing::LocalGuess:
            return "local guess";
        }
        return "";
    }

    region_id regionOfNumber(std::size_t number) { return region_id("region-" + std::to_string(number % regionCount)); }
    vm_id entryName(std::size_t entry) { return vm_id("entry-" + std::to_string(entry)); }
    duration oneWay(const region_id& left, const region_id& right)
    {
        return left == right ? insideRegion : betweenRegions;
    }

    vm_record entryRecord(std::size_t entry)
    {
        vm_record record;
        record.id = entryName(entry);
        record.region = regionOfNumber(entry);
        record.failureDomain = failure_domain_id(record.region.value() + "-a");
        return record;
    }

    upstream_announcement upstreamRecord(std::size_t number)
    {
        upstream_announcement upstream;
        upstream.id = upstream_id("u" + std::to_string(number));
        upstream.generation = upstream_generation(1);
        upstream.service = service_id("catalogo");
        upstream.address = { "127.0.0.1", static_cast<std::uint16_t>(9000 + number) };
        upstream.region = regionOfNumber(number);
        upstream.failureDomain = failure_domain_id(upstream.region.value() + "-a");
        upstream.slots = slot_count(slotsPerUpstream);
        upstream.connections = 390;
        return upstream;
    }

    control_snapshot initialState()
    {
        control_snapshot state;
        service_definition service;
        service.id = service_id("catalogo");
        service.slots = slot_count(slotsPerUpstream);
        service.connections = 390;
        service.defaultDeadline = callerDeadline;
        service.maximumDeadline = 2s;
        service.maximumBody = byte_count(1024);
        service.keyRetention = 1h;
        state.config.services.emplace(service.id, service);
        for (std::size_t i = 0; i < regionCount; ++i) {
            const region_id region = regionOfNumber(i);
            state.config.regions[region] = { region, { failure_domain_id(region.value() + "-a") } };
            state.allocators[region] = { entryName(i), incarnation(i + 1), allocator_epoch(1) };
        }
        for (std::size_t i = 0; i < upstreamCount; ++i)
            state.directory[upstreamRecord(i).id] = { upstreamRecord(i), {} };
        return state;
    }

    /** Upstreams that run all that they get, and count it. */
    class upstream_model {
    public:
        explicit upstream_model(paused_runtime& runtime)
            : m_runtime(runtime)
        {
        }

        upstream_port portOf(std::size_t entry)
        {
            upstream_port port;
            port.start = [this, entry](
                             const upstream_call& call, call_events events) { start(entry, call, std::move(events)); };
            port.cancel = [this, entry](call_id call) { cancel({ entry, call.value() }); };
            port.poll = [](const network_address&, duration, const auto& done) { done(load_report()); };
            port.forget = [](const network_address&) {};
            return port;
        }

        double mostOverCapacity = 0;
        std::map<std::string, int> runs;

    private:
        using call_name = std::pair<std::size_t, std::uint64_t>;

        struct open_call {
            upstream_id upstream;
            call_events events;
            duration way {};
            /** The work, while it runs. */
            timer_id work;
        };

        void start(std::size_t entry, const upstream_call& call, call_events events)
        {
            const call_name name { entry, call.id.value() };
            const duration way = oneWay(regionOfNumber(entry), regionOfUpstream(call.upstream));
            events.onFirstByte();
            m_open.emplace(name, open_call { call.upstream, std::move(events), way, {} });
            m_runtime.schedule(call.timeout, [this, name] { timeOut(name); });
            m_runtime.schedule(way, [this, name, body = call.body] {
                if (m_open.contains(name))
                    arrive(name, body);
            });
        }

        void arrive(const call_name& name, const std::string& body)
        {
            if (!body.empty())
                ++runs[body];
            open_call& call = m_open.at(name);
            const std::uint32_t running = ++m_running[call.upstream];
            const double load = static_cast<double>(running) / slotsPerUpstream;
            mostOverCapacity = std::max(mostOverCapacity, load);
            const double even = static_cast<double>(m_runtime.random() % 1'000'000 + 1) / 1'000'000;
            const double factor = std::clamp(-std::log(even), 0.2, 5.0) / meanOfClampedFactor * std::max(1.0, load);
            call.work = m_runtime.schedule(
                std::chrono::duration_cast<duration>(meanWork * factor), [this, name] { finish(name); });
        }

        /** The work is done and its answer on its way. */
        void finish(const call_name& name)
        {
            open_call& call = m_open.at(name);
            --m_running[call.upstream];
            call.work = {};
            m_runtime.schedule(call.way, [this, name] {
                auto open = m_open.extract(name);
                if (!open.empty())
                    open.mapped().events.onAnswer({ 200, {}, "answer" });
            });
        }

        void timeOut(const call_name& name)
        {
            const auto open = m_open.find(name);
            if (open == m_open.end())
                return;
            const call_events events = open->second.events;
            cancel(name);
            events.onFailure(call_failure::Timeout);
        }

        /** The close of the connection reaches the upstream, which stops the work. */
        void cancel(const call_name& name)
        {
            auto open = m_open.extract(name);
            if (open.empty())
                return;
            const open_call call = open.mapped();
            if (call.work == timer_id())
                return;
            m_runtime.cancel(call.work);
            m_runtime.schedule(call.way, [this, id = call.upstream] { --m_running[id]; });
        }

        static region_id regionOfUpstream(const upstream_id& id)
        {
            return regionOfNumber(std::strtoul(id.value().c_str() + 1, nullptr, 10));
        }

        paused_runtime& m_runtime;
        std::map<call_name, open_call> m_open;
        std::map<upstream_id, std::uint32_t> m_running;
    };

    /** One owning entry for each upstream: others ask it, one hop away, and it queues them. */
    class owner_model {
    public:
        explicit owner_model(paused_runtime& runtime)
            : m_runtime(runtime)
            , m_owners(entryCount)
        {
            for (std::size_t number = 0; number < upstreamCount; ++number) {
                std::vector<std::size_t> inRegion;
                for (std::size_t entry = 0; entry < entryCount; ++entry) {
                    if (entry % regionCount == number % regionCount)
                        inRegion.push_back(entry);
                }
                owner& chosen = m_owners[inRegion[number / regionCount % inRegion.size()]];
                for (std::uint32_t slot = 0; slot < slotsPerUpstream; ++slot)
                    chosen.free.push_back(number);
                chosen.slots += slotsPerUpstream;
            }
        }

        slot_port portOf(std::size_t entry)
        {
            slot_port port;
            port.acquire = [this, entry](const slot_request& asked, std::function<void(slot_answer)> given) {
                const slot_ticket ticket(++m_last);
                m_waiting[ticket] = std::move(given);
                ask(entry, ticket, asked.deadline, regionCount);
                return ticket;
            };
            port.cancelWait = [this](slot_ticket ticket) { m_waiting.erase(ticket); };
            port.release = [this, entry](slot_hold hold, const slot_result& result) { release(entry, hold, result); };
            return port;
        }

    private:
        struct waiter {
            std::size_t entry;
            slot_ticket ticket;
            time_point deadline;
        };
        struct owner {
            std::deque<std::size_t> free;
            std::deque<waiter> queue;
            std::uint32_t slots = 0;
        };

        duration way(std::size_t left, std::size_t right) const
        {
            return left == right ? duration::zero() : oneWay(regionOfNumber(left), regionOfNumber(right));
        }

        /** Owners in the entry's region in turn, then one of another region for each refusal. */
        void ask(std::size_t entry, slot_ticket ticket, time_point deadline, std::size_t regionsLeft)
        {
            const std::size_t region = (entry + regionCount - regionsLeft) % regionCount;
            std::size_t asked = m_turn++ % entryCount;
            while (asked % regionCount != region)
                asked = m_turn++ % entryCount;
            m_runtime.schedule(way(entry, asked), [this, entry, asked, ticket, deadline, regionsLeft] {
                arrive(asked, { entry, ticket, deadline }, regionsLeft);
            });
        }

        void arrive(std::size_t asked, const waiter& item, std::size_t regionsLeft)
        {
            owner& found = m_owners[asked];
            const duration wait = meanWork * (found.queue.size() + 1) / found.slots;
            if (!found.free.empty() || m_runtime.now() + wait * 2 < item.deadline) {
                found.queue.push_back(item);
                serve(asked);
                return;
            }
            m_runtime.schedule(way(asked, item.entry), [this, item, regionsLeft] {
                if (regionsLeft > 1)
                    ask(item.entry, item.ticket, item.deadline, regionsLeft - 1);
                else
                    give(item.ticket, { std::nullopt, slot_refusal::Overloaded });
            });
        }

        void serve(std::size_t number)
        {
            owner& found = m_owners[number];
            while (!found.free.empty() && !found.queue.empty()) {
                const waiter item = found.queue.front();
                found.queue.pop_front();
                if (item.deadline <= m_runtime.now() || !m_waiting.contains(item.ticket))
                    continue;
                const std::size_t upstream = found.free.front();
                found.free.pop_front();
                const slot_hold hold(++m_last);
                m_holds[hold] = { number, upstream };
                m_runtime.schedule(way(number, item.entry), [this, item, hold, upstream] {
                    const held_slot slot { hold, upstreamRecord(upstream), time_point::max() };
                    if (!give(item.ticket, { slot, {} }))
                        release(item.entry, hold, {});
                });
            }
        }

        bool give(slot_ticket ticket, const slot_answer& answer)
        {
            auto waiting = m_waiting.extract(ticket);
            if (waiting.empty())
                return false;
            waiting.mapped()(answer);
            return true;
        }

        void release(std::size_t entry, slot_hold hold, const slot_result& result)
        {
            const auto [number, upstream] = m_holds.at(hold);
            m_holds.erase(hold);
            const duration busy = result.busyUntil ? *result.busyUntil - m_runtime.now() : duration::zero();
            m_runtime.schedule(busy + way(entry, number), [this, number = number, upstream = upstream] {
                m_owners[number].free.push_back(upstream);
                serve(number);
            });
        }

        paused_runtime& m_runtime;
        std::vector<owner> m_owners;
        std::map<slot_ticket, std::function<void(slot_answer)>> m_waiting;
        std::map<slot_hold, std::pair<std::size_t, std::size_t>> m_holds;
        std::uint64_t m_last = 0;
        std::size_t m_turn = 0;
    };

    template <typename Port> void addPort(kernel& core, const std::string& name, Port& port)
    {
        service item;
        item.name = name;
        item.start = [name, &port](registry& services) { return services.publish(name, port); };
        core.add(std::move(item));
    }

    /** What a run measured. */
    struct result_row {
        std::uint64_t sent = 0;
        std::uint64_t useful = 0;
        std::uint64_t refused = 0;
        std::uint64_t late = 0;
        std::uint64_t extraAttempts = 0;
        double mostOverCapacity = 0;
        int doubleRuns = 0;
        std::vector<duration> latencies;
    };

    /** One entry with its services. */
    struct simulated_entry {
        vm_settings settings;
        process_life life = std::make_shared<bool>(true);
        std::unique_ptr<fake_log_member> log;
        peer_port peers;
        membership_port membership;
        liveness_port liveness;
        shift_port shifts;
        slot_port ownedSlots;
        upstream_port upstreams;
        std::unique_ptr<peer_router> router;
        std::unique_ptr<slot_service> slots;
        std::unique_ptr<request_service> requests;
        std::unique_ptr<kernel> core;
        request_port* port = nullptr;
    };

    /** Seven entries under one load. */
    class comparison {
    public:
        comparison(sharing mode, double load)
            : m_mode(mode)
            , m_interval(
                  std::chrono::duration_cast<duration>(std::chrono::duration<double>(1 / (load * capacityPerSecond))))
        {
            m_log.state = initialState();
            m_network.delay = [](const vm_id& from, const vm_id& to) {
                return from.value().back() % regionCount == to.value().back() % regionCount ? insideRegion
                                                                                            : betweenRegions;
            };
            for (std::size_t i = 0; i < entryCount; ++i)
                start(i);
        }

        result_row run()
        {
            scheduleArrival();
            m_runtime.advance(warmUp);
            m_counting = true;
            const std::uint64_t before = extraAttempts();
            m_runtime.advance(measured);
            m_counting = false;
            m_row.extraAttempts = extraAttempts() - before;
            m_runtime.advance(callerDeadline);
            m_row.mostOverCapacity = m_upstreams.mostOverCapacity;
            for (const auto& [body, count] : m_upstreams.runs)
                m_row.doubleRuns += count > 1 ? 1 : 0;
            return m_row;
        }

    private:
        void start(std::size_t number)
        {
            m_entries[number] = std::make_unique<simulated_entry>();
            simulated_entry& entry = *m_entries[number];
            vm_settings& settings = entry.settings;
            settings.self = entryRecord(number);
            for (std::size_t i = 0; i < entryCount; ++i)
                settings.vms.push_back(entryRecord(i));
            const kernel_hooks hooks = m_runtime.hooks();
            entry.core = *kernel::create(hooks);
            entry.log = std::make_unique<fake_log_member>(m_log, settings.self.id, incarnation(number + 1));
            entry.log->fate = [](const control_command&) { return proposal_fate { betweenRegions * 2 }; };
            entry.upstreams = m_upstreams.portOf(number);
            addPort(*entry.core, port_names::control, entry.log->control);
            addPort(*entry.core, port_names::consensus, entry.log->consensus);
            addPort(*entry.core, port_names::upstreams, entry.upstreams);
            addSlots(entry, number, settings);
            entry.requests = *request_service::create(hooks, settings);
            entry.core->add(entry.requests->asService());
            const absl::Status status = entry.core->start();
            internal_assert(status.ok()) << status.message();
            entry.port = *entry.core->services().find<request_port>(port_names::requests);
        }

        void addSlots(simulated_entry& entry, std::size_t number, const vm_settings& settings)
        {
            if (m_mode == sharing::Owner) {
                entry.ownedSlots = m_owners.portOf(number);
                addPort(*entry.core, port_names::slots, entry.ownedSlots);
                return;
            }
            slot_options options;
            options.mode = m_mode == sharing::Leased ? slot_mode::Leased : slot_mode::LocalGuess;
            options.host.polls = false;
            entry.peers = m_network.attach(settings.self.id, entry.life);
            entry.membership.start = [number] { return incarnation(number + 1); };
            entry.membership.allocatorUntil = [this](const region_id&) { return std::optional(m_runtime.now() + 2s); };
            entry.liveness.lastSeen = [this](const upstream_id&) { return std::optional(m_runtime.now()); };
            entry.liveness.silence = [] { return 6s; };
            entry.shifts.weights = [](const service_id&) { return std::vector<domain_weight>(); };
            entry.shifts.shifts = [](const service_id&) { return std::vector<active_shift>(); };
            entry.shifts.trySpend = [](const shift_id&) { return false; };
            entry.router = peer_router::create();
            entry.slots = *slot_service::create(entry.core->hooks(), settings, options);
            addPort(*entry.core, port_names::peers, entry.peers);
            addPort(*entry.core, port_names::membership, entry.membership);
            addPort(*entry.core, port_names::liveness, entry.liveness);
            addPort(*entry.core, port_names::shifts, entry.shifts);
            entry.core->add(entry.router->asService());
            entry.core->add(entry.slots->asService());
        }

        void scheduleArrival()
        {
            const double even = static_cast<double>(m_runtime.random() % 1'000'000 + 1) / 1'000'000;
            const auto wait = std::chrono::duration_cast<duration>(m_interval * -std::log(even));
            m_runtime.schedule(wait, [this] {
                send();
                scheduleArrival();
            });
        }

        void send()
        {
            caller_request request;
            request.service = service_id("catalogo");
            const std::string number = std::to_string(++m_sent);
            const bool order = static_cast<double>(m_runtime.random() % 1000) < orderShare * 1000;
            request.method = order ? "POST" : "GET";
            request.target = order ? "/orders" : "/frames/" + number;
            if (order) {
                request.body = "order-" + number;
                request.key = idempotency_key("key-" + number);
            }
            const bool counted = m_counting;
            m_row.sent += counted ? 1 : 0;
            const time_point sentAt = m_runtime.now();
            // Callers stay near: each region's callers use its entries in turn.
            const std::size_t region = m_runtime.random() % regionCount;
            std::size_t entry = m_turn++ % entryCount;
            while (entry % regionCount != region)
                entry = m_turn++ % entryCount;
            m_entries[entry]->port->submit(std::move(request),
                [this, counted, sentAt](const caller_answer& answer) { count(counted, sentAt, answer); });
        }

        void count(bool counted, time_point sentAt, const caller_answer& answer)
        {
            if (m_counting && answer.result == outcome::Completed)
                ++m_row.useful;
            if (!counted)
                return;
            if (answer.result == outcome::Completed)
                m_row.latencies.push_back(m_runtime.now() - sentAt);
            else if (answer.result == outcome::NotRun)
                ++m_row.refused;
            else
                ++m_row.late;
        }

        std::uint64_t extraAttempts() const
        {
            std::uint64_t sum = 0;
            for (const auto& entry : m_entries)
                sum += entry->requests->statistics().retries + entry->requests->statistics().hedges;
            return sum;
        }

        sharing m_mode;
        duration m_interval;
        paused_runtime m_runtime { 1 };
        fake_log m_log { m_runtime };
        fake_network m_network { m_runtime };
        upstream_model m_upstreams { m_runtime };
        owner_model m_owners { m_runtime };
        std::vector<std::unique_ptr<simulated_entry>> m_entries { entryCount };
        result_row m_row;
        bool m_counting = false;
        std::uint64_t m_sent = 0;
        std::size_t m_turn = 0;
    };

    double milliseconds(std::vector<duration>& sorted, std::size_t percent)
    {
        if (sorted.empty())
            return 0;
        return std::chrono::duration<double, std::milli>(sorted[(sorted.size() - 1) * percent / 100]).count();
    }

    void print(sharing mode, double load, result_row row)
    {
        std::sort(row.latencies.begin(), row.latencies.end());
        const double sent = static_cast<double>(row.sent);
        const double seconds = std::chrono::duration<double>(measured).count();
        std::printf("%-20s %4.1f  %6.3f  %7.3f  %5.3f  %7.3f  %6.2f  %6d  %6.0f  %6.0f\n", sharingName(mode), load,
            static_cast<double>(row.useful) / (capacityPerSecond * seconds), static_cast<double>(row.refused) / sent,
            static_cast<double>(row.late) / sent, static_cast<double>(row.extraAttempts) / sent, row.mostOverCapacity,
            row.doubleRuns, milliseconds(row.latencies, 50), milliseconds(row.latencies, 99));
        std::fflush(stdout);
    }

} // namespace

} // namespace plantainlatch

int main()
{
    using namespace plantainlatch;
    std::printf(
        "useful: answers in time over capacity; refused, late, retries and hedges: parts of the requests sent;\n"
        "in use: the most at one upstream over its slots; p50 and p99 in ms\n");
    std::printf("%-20s load  useful  refused  late   retries  in use  double     p50     p99\n", "");
    for (const double load : { 0.5, 0.9, 1.2, 2.0 }) {
        for (const sharing mode : { sharing::Leased, sharing::Owner, sharing::LocalGuess })
            print(mode, load, comparison(mode, load).run());
    }
    return 0;
}
