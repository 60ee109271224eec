/** \file
 * Compares three ways to share the slots of upstreams among entries under load, in virtual time: leased slots, one
 * owning entry for each upstream, and entries that do not coordinate. With more requests than slots, the service time
 * of an upstream grows in proportion.
 */

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "core/internal_assert.h"
#include "decision/request/request_service.h"
#include "decision/slots/slot_service.h"
#include "kernel/kernel.h"
#include "ports/directory_port.h"
#include "ports/port_names.h"
#include "support/fake_log.h"
#include "support/fake_network.h"
#include "support/owner_slots.h"
#include "support/simulated_upstreams.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;
    using namespace simulated_deployment;

    constexpr duration warmUp = 15s;
    constexpr duration measured = 15s;
    constexpr double orderShare = 0.1;

    enum class sharing { Leased, Owner, Uncoordinated };

    const char* sharingName(sharing mode)
    {
        switch (mode) {
        case sharing::Leased:
            return "leased slots";
        case sharing::Owner:
            return "one owning entry";
        case sharing::Uncoordinated:
            return "uncoordinated";
        }
        return "";
    }

    template <typename Port> void addPort(kernel& core, const std::string& name, Port& port)
    {
        service item;
        item.name = name;
        item.start = [name, &port](registry& services) { return services.publish(name, port); };
        core.add(std::move(item));
    }

    struct result_row {
        std::uint64_t sent = 0;
        std::uint64_t useful = 0;
        std::uint64_t refused = 0;
        std::uint64_t late = 0;
        std::uint64_t extraAttempts = 0;
        double maximumLoad = 0;
        int repeatedRuns = 0;
        std::vector<duration> latencies;
    };

    /** One entry with its services. */
    struct simulated_entry {
        vm_settings settings;
        process_lifetime life = std::make_shared<bool>(true);
        std::unique_ptr<fake_log_member> log;
        peer_port peers;
        membership_port membership;
        directory_port directory;
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

    /** One run of all entries in one mode at one load, as a fraction of the capacity. */
    class comparison {
    public:
        comparison(sharing mode, double load)
            : m_mode(mode)
            , m_interval(
                  std::chrono::duration_cast<duration>(std::chrono::duration<double>(1 / (load * capacityPerSecond))))
        {
            m_log.state = initialState();
            m_network.delay = [](const vm_id& from, const vm_id& to) {
                return from.value().back() % regionCount == to.value().back() % regionCount ? delayInRegion
                                                                                            : delayBetweenRegions;
            };
            for (std::size_t i = 0; i < entryCount; ++i)
                m_log.state.vms[entryRecord(i).id] = { entryRecord(i), incarnation(i + 1), {}, false, true };
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
            m_row.maximumLoad = m_upstreams.maximumLoad;
            for (const auto& [body, count] : m_upstreams.runs)
                m_row.repeatedRuns += count > 1 ? 1 : 0;
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
            entry.log->behaviour
                = [](const control_command&) { return proposal_behaviour { delayBetweenRegions * 2 }; };
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
            options.mode = m_mode == sharing::Leased ? slot_mode::Leased : slot_mode::Uncoordinated;
            options.host.polls = false;
            entry.peers = m_network.attach(settings.self.id, entry.life);
            entry.membership.start = [number] { return incarnation(number + 1); };
            entry.membership.allocatorLeaseEnd
                = [this](const region_id&) { return std::optional(m_runtime.now() + 2s); };
            entry.liveness.lastSeen = [this](const upstream_id&) { return std::optional(m_runtime.now()); };
            entry.liveness.silenceTimeout = [] { return 6s; };
            entry.shifts.weights = [](const service_id&) { return std::vector<domain_weight>(); };
            entry.shifts.shifts = [](const service_id&) { return std::vector<active_shift>(); };
            entry.shifts.tryAcquire = [](const shift_id&) { return false; };
            entry.router = peer_router::create();
            entry.slots = *slot_service::create(entry.core->hooks(), settings, options);
            addPort(*entry.core, port_names::peers, entry.peers);
            addPort(*entry.core, port_names::membership, entry.membership);
            addPort(*entry.core, port_names::directory, entry.directory);
            addPort(*entry.core, port_names::liveness, entry.liveness);
            addPort(*entry.core, port_names::shifts, entry.shifts);
            entry.core->add(entry.router->asService());
            entry.core->add(entry.slots->asService());
        }

        void scheduleArrival()
        {
            const double uniform = static_cast<double>(m_runtime.random() % 1'000'000 + 1) / 1'000'000;
            const auto wait = std::chrono::duration_cast<duration>(m_interval * -std::log(uniform));
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
            const bool isOrder = static_cast<double>(m_runtime.random() % 1000) < orderShare * 1000;
            request.method = isOrder ? "POST" : "GET";
            request.target = isOrder ? "/orders" : "/frames/" + number;
            if (isOrder) {
                request.body = "order-" + number;
                request.key = idempotency_key("key-" + number);
            }
            const bool counted = m_counting;
            m_row.sent += counted ? 1 : 0;
            const time_point sentAt = m_runtime.now();
            // Callers use a random entry of their own region; the regions have equal numbers of requests.
            const std::size_t entry = randomEntryIn(m_runtime, m_runtime.random() % regionCount);
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
        simulated_upstreams m_upstreams { m_runtime };
        owner_slots m_owners { m_runtime };
        std::vector<std::unique_ptr<simulated_entry>> m_entries { entryCount };
        result_row m_row;
        bool m_counting = false;
        std::uint64_t m_sent = 0;
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
            static_cast<double>(row.late) / sent, static_cast<double>(row.extraAttempts) / sent, row.maximumLoad,
            row.repeatedRuns, milliseconds(row.latencies, 50), milliseconds(row.latencies, 99));
        std::fflush(stdout);
    }

} // namespace

} // namespace plantainlatch

int main()
{
    using namespace plantainlatch;
    std::printf("useful: answers in time, relative to the capacity;\n"
                "refused, late, retries (including hedges): per request sent;\n"
                "in use: maximum concurrent requests of an upstream per slot; double: requests that ran twice;\n"
                "p50 and p99 in ms\n");
    std::printf("%-20s load  useful  refused  late   retries  in use  double     p50     p99\n", "");
    for (const double load : { 0.5, 0.9, 1.2, 2.0 }) {
        for (const sharing mode : { sharing::Leased, sharing::Owner, sharing::Uncoordinated })
            print(mode, load, comparison(mode, load).run());
    }
    return 0;
}
