#include <map>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "decision/slots/slot_allocator.h"
#include "decision/slots/slot_holdings.h"
#include "support/broken_invariant.h"
#include "support/from_environment.h"
#include "support/paused_runtime.h"

namespace plantainlatch {

namespace {

    constexpr int vmCount = 5;
    constexpr int upstreamCount = 4;
    constexpr std::uint32_t capacity = 3;
    constexpr duration maximumRequestTime = std::chrono::seconds(3);
    constexpr duration step = std::chrono::milliseconds(20);
    constexpr int steps = 3000;

    /** The waits of the allocator that are disabled; with any of them disabled, the test must find an overload. */
    struct disabled_waits {
        bool earlierAllocations = false;
        bool silentHolders = false;
    };

    /**
     * Simulates the holders and the allocator of one region. The network loses, delays and duplicates messages, holders
     * freeze and restart, and the allocator is replaced. The simulation counts the requests that run on each upstream
     * itself, independently of what the holders and the allocator record.
     */
    class slot_simulation {
    public:
        slot_simulation(std::uint64_t seed, disabled_waits disabled)
            : m_runtime(seed)
        {
            m_options.waitForEarlierAllocations = !disabled.earlierAllocations;
            m_options.waitForSilentHolders = !disabled.silentHolders;
            for (int i = 0; i < vmCount; ++i)
                m_holders.push_back({ vm_id("e" + std::to_string(i)),
                    slot_holdings(m_region, incarnation(1), m_runtime.now()), {}, 1, {} });
            for (int i = 0; i < upstreamCount; ++i) {
                usable_upstream upstream;
                upstream.announcement.id = upstream_id("u" + std::to_string(i));
                upstream.announcement.generation = upstream_generation(1);
                upstream.announcement.service = m_service;
                upstream.announcement.region = m_region;
                upstream.announcement.slots = slot_count(capacity);
                upstream.capacity = capacity;
                upstream.maximumDeadline = maximumRequestTime;
                m_table.upstreams[upstream.announcement.id] = upstream;
                m_table.byService[m_service].push_back(upstream.announcement.id);
            }
            replaceAllocator();
        }

        /** Runs the simulation and returns the maximum number of concurrent requests on one upstream. */
        std::uint32_t run()
        {
            std::uint32_t peakRunning = 0;
            for (int i = 0; i < steps; ++i) {
                performRandomActions();
                m_runtime.advance(step);
                endRequests();
                for (const auto& [id, ends] : m_running)
                    peakRunning = std::max(peakRunning, static_cast<std::uint32_t>(ends.size()));
            }
            return peakRunning;
        }

        std::uint64_t requestsStarted() const { return m_requestsStarted; }

    private:
        struct running_request {
            upstream_id upstream;
            upstream_generation generation;
            time_point end;
        };

        struct holder_vm {
            vm_id id;
            slot_holdings holdings;
            time_point frozenUntil;
            std::uint64_t start;
            std::vector<running_request> running;
        };

        std::uint64_t randomBelow(std::uint64_t bound) { return m_runtime.random() % bound; }

        void replaceAllocator()
        {
            m_epoch = m_epoch.next();
            std::set<vm_id> earlierHolders;
            for (const holder_vm& holder : m_holders) {
                if (m_epoch > allocator_epoch(1))
                    earlierHolders.insert(holder.id);
            }
            m_allocator
                = std::make_unique<slot_allocator>(m_region, m_epoch, earlierHolders, m_runtime.now(), m_options);
            m_allocator->setUpstreams(m_table, maximumRequestTime, m_runtime.now());
            for (holder_vm& holder : m_holders)
                holder.holdings.setAllocator({ vm_id("e0"), incarnation(1), m_epoch });
        }

        void performRandomActions()
        {
            for (std::size_t i = 0; i < m_holders.size(); ++i) {
                holder_vm& holder = m_holders[i];
                if (m_runtime.now() < holder.frozenUntil)
                    continue;
                if (randomBelow(4) == 0)
                    report(i);
                startRequests(holder);
                if (randomBelow(400) == 0)
                    holder.frozenUntil = m_runtime.now() + std::chrono::milliseconds(randomBelow(9000));
                if (randomBelow(500) == 0)
                    restart(holder);
            }
            if (randomBelow(50) == 0)
                sendGrants(m_allocator->tick(m_runtime.now()));
            if (randomBelow(700) == 0)
                replaceAllocator();
        }

        void restart(holder_vm& holder)
        {
            holder.running.clear();
            holder.holdings = slot_holdings(m_region, incarnation(++holder.start), m_runtime.now());
            holder.holdings.setAllocator({ vm_id("e0"), incarnation(1), m_epoch });
        }

        void report(std::size_t from)
        {
            holder_vm& holder = m_holders[from];
            slot_report message = holder.holdings.makeReport(m_runtime.now(), std::nullopt);
            slot_demand demand;
            demand.service = m_service;
            demand.waiting = static_cast<std::uint32_t>(randomBelow(6));
            for (const auto& [id, item] : holder.holdings.holdings())
                demand.idle += item.idle();
            message.demands.push_back(demand);
            for (const per_upstream_count& held : message.held)
                message.warmAnswers.push_back(held);
            sendOverNetwork([this, from, message] {
                sendGrants(m_allocator->report({ m_holders[from].id, true, false }, message, m_runtime.now()));
            });
        }

        void sendGrants(const std::vector<addressed_grant>& grants)
        {
            for (const addressed_grant& grant : grants) {
                sendOverNetwork([this, grant] {
                    for (holder_vm& holder : m_holders) {
                        if (holder.id == grant.to && m_runtime.now() >= holder.frozenUntil)
                            holder.holdings.applyGrant(grant.grant);
                    }
                });
            }
        }

        void sendOverNetwork(const std::function<void()>& deliver)
        {
            const int copies = randomBelow(10) == 0 ? 0 : randomBelow(10) == 0 ? 2 : 1;
            for (int i = 0; i < copies; ++i) {
                const std::uint64_t delayLimit = randomBelow(20) == 0 ? 2000 : 30;
                m_runtime.schedule(std::chrono::milliseconds(randomBelow(delayLimit)), deliver);
            }
        }

        void startRequests(holder_vm& holder)
        {
            for (const auto& [id, item] : holder.holdings.holdings()) {
                const bool starts
                    = randomBelow(3) == 0 && holder.holdings.idle(id, item.generation, m_runtime.now()) > 0;
                if (!starts)
                    continue;
                const duration length = std::chrono::milliseconds(1 + randomBelow(3000));
                const time_point end = m_runtime.now() + std::min<duration>(length, maximumRequestTime);
                holder.holdings.take(id);
                holder.running.push_back({ id, item.generation, end });
                m_running[id].push_back(end);
                ++m_requestsStarted;
            }
        }

        void endRequests()
        {
            const time_point now = m_runtime.now();
            for (auto& [id, ends] : m_running)
                std::erase_if(ends, [now](time_point end) { return end <= now; });
            for (holder_vm& holder : m_holders) {
                std::erase_if(holder.running, [&](const running_request& item) {
                    if (item.end <= now)
                        holder.holdings.free(item.upstream, item.generation, now);
                    return item.end <= now;
                });
            }
        }

        paused_runtime m_runtime;
        region_id m_region { "fukuoka" };
        service_id m_service { "booking" };
        slot_allocator_options m_options;
        upstream_table m_table;
        allocator_epoch m_epoch;
        std::unique_ptr<slot_allocator> m_allocator;
        std::vector<holder_vm> m_holders;
        std::map<upstream_id, std::vector<time_point>> m_running;
        std::uint64_t m_requestsStarted = 0;
    };

    class slot_random_fixture {
    protected:
        /** The number of seeds to run; PLANTAINLATCH_SEEDS overrides it. */
        static std::uint64_t seedCount() { return fromEnvironment("PLANTAINLATCH_SEEDS", 30); }

        /** The first seed with which an upstream ran more requests than it has slots, or an invariant was violated. */
        static std::optional<std::uint64_t> firstSeedWithOverload(disabled_waits disabled)
        {
            std::uint64_t requestsStarted = 0;
            for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
                slot_simulation simulation(seed, disabled);
                if (breaksInvariant([&simulation] { return simulation.run() > capacity; }))
                    return seed;
                requestsStarted += simulation.requestsStarted();
            }
            // Too few requests could not cause an overload; 12 slots allow about 480 requests in 60 s.
            REQUIRE(requestsStarted > 100 * seedCount());
            return std::nullopt;
        }
    };

} // namespace

TEST_CASE_METHOD(slot_random_fixture, "slots.random_faults.never_more_requests_than_slots")
{
    const std::optional<std::uint64_t> seed = firstSeedWithOverload({});
    INFO("seed " << seed.value_or(0));
    REQUIRE_FALSE(seed.has_value());
}

TEST_CASE_METHOD(slot_random_fixture, "slots.new_allocator_that_does_not_wait.overloads_upstreams")
{
    REQUIRE(firstSeedWithOverload({ .earlierAllocations = true }).has_value());
}

TEST_CASE_METHOD(slot_random_fixture, "slots.slots_of_silent_holders_reclaimed_early.overloads_upstreams")
{
    REQUIRE(firstSeedWithOverload({ .silentHolders = true }).has_value());
}

} // namespace plantainlatch
