#include <cstdlib>
#include <map>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "decision/slots/slot_allocator.h"
#include "decision/slots/slot_holdings.h"
#include "support/broken_invariant.h"
#include "support/paused_runtime.h"

namespace plantainlatch {

namespace {

    constexpr int vmCount = 5;
    constexpr int upstreamCount = 4;
    constexpr std::uint32_t capacity = 3;
    constexpr duration longestWork = std::chrono::seconds(3);
    constexpr duration step = std::chrono::milliseconds(20);
    constexpr int steps = 3000;

    /** Which protections of the slots are turned off. */
    struct broken_parts {
        bool earlierLoans = false;
        bool silentHolders = false;
    };

    /**
     * Holders and allocators of one region over a network that loses, delays and doubles messages, while holders freeze
     * and restart and the allocator is replaced. The truth is the work that runs at each upstream.
     */
    class slot_world {
    public:
        slot_world(std::uint64_t seed, broken_parts broken)
            : m_runtime(seed)
        {
            m_options.waitForEarlierLoans = !broken.earlierLoans;
            m_options.waitForSilentHolders = !broken.silentHolders;
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
                upstream.maximumDeadline = longestWork;
                m_table.upstreams[upstream.announcement.id] = upstream;
                m_table.byService[m_service].push_back(upstream.announcement.id);
            }
            replaceAllocator();
        }

        /** The most work that ran at once on one upstream. */
        std::uint32_t run()
        {
            std::uint32_t largest = 0;
            for (int i = 0; i < steps; ++i) {
                act();
                m_runtime.advance(step);
                endWork();
                for (const auto& [id, ends] : m_running)
                    largest = std::max(largest, static_cast<std::uint32_t>(ends.size()));
            }
            return largest;
        }

        std::uint64_t worksBegun() const { return m_begun; }

    private:
        struct work {
            upstream_id upstream;
            upstream_generation generation;
            time_point end;
        };

        struct holder_vm {
            vm_id id;
            slot_holdings holdings;
            time_point frozenUntil;
            std::uint64_t start;
            std::vector<work> running;
        };

        std::uint64_t draw(std::uint64_t bound) { return m_runtime.random() % bound; }

        void replaceAllocator()
        {
            m_epoch = m_epoch.next();
            std::set<vm_id> members;
            for (const holder_vm& holder : m_holders) {
                if (m_epoch > allocator_epoch(1))
                    members.insert(holder.id);
            }
            m_allocator = std::make_unique<slot_allocator>(m_region, m_epoch, members, m_runtime.now(), m_options);
            m_allocator->setUpstreams(m_table, longestWork, m_runtime.now());
            for (holder_vm& holder : m_holders)
                holder.holdings.setAllocator({ vm_id("e0"), incarnation(1), m_epoch });
        }

        void act()
        {
            for (std::size_t i = 0; i < m_holders.size(); ++i) {
                holder_vm& holder = m_holders[i];
                if (m_runtime.now() < holder.frozenUntil)
                    continue;
                if (draw(4) == 0)
                    report(i);
                beginWork(holder);
                if (draw(400) == 0)
                    holder.frozenUntil = m_runtime.now() + std::chrono::milliseconds(draw(9000));
                if (draw(500) == 0)
                    restart(holder);
            }
            if (draw(50) == 0)
                sendGrants(m_allocator->tick(m_runtime.now()));
            if (draw(700) == 0)
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
            demand.waiting = static_cast<std::uint32_t>(draw(6));
            for (const auto& [id, item] : holder.holdings.holdings())
                demand.idle += item.idle();
            message.demands.push_back(demand);
            for (const slot_share& share : message.held)
                message.warmAnswers.push_back(share);
            overNetwork([this, from, message] {
                sendGrants(m_allocator->report({ m_holders[from].id, true, false }, message, m_runtime.now()));
            });
        }

        void sendGrants(const std::vector<addressed_grant>& grants)
        {
            for (const addressed_grant& grant : grants) {
                overNetwork([this, grant] {
                    for (holder_vm& holder : m_holders) {
                        if (holder.id == grant.to && m_runtime.now() >= holder.frozenUntil)
                            holder.holdings.takeGrant(grant.grant);
                    }
                });
            }
        }

        void overNetwork(const std::function<void()>& deliver)
        {
            const int copies = draw(10) == 0 ? 0 : draw(10) == 0 ? 2 : 1;
            for (int i = 0; i < copies; ++i) {
                const std::uint64_t longest = draw(20) == 0 ? 2000 : 30;
                m_runtime.schedule(std::chrono::milliseconds(draw(longest)), deliver);
            }
        }

        void beginWork(holder_vm& holder)
        {
            for (const auto& [id, item] : holder.holdings.holdings()) {
                const bool begins = draw(3) == 0 && holder.holdings.idle(id, item.generation, m_runtime.now()) > 0;
                if (!begins)
                    continue;
                const duration length = std::chrono::milliseconds(1 + draw(3000));
                const time_point end = m_runtime.now() + std::min<duration>(length, longestWork);
                holder.holdings.take(id);
                holder.running.push_back({ id, item.generation, end });
                m_running[id].push_back(end);
                ++m_begun;
            }
        }

        void endWork()
        {
            const time_point now = m_runtime.now();
            for (auto& [id, ends] : m_running)
                std::erase_if(ends, [now](time_point end) { return end <= now; });
            for (holder_vm& holder : m_holders) {
                std::erase_if(holder.running, [&](const work& item) {
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
        std::uint64_t m_begun = 0;
    };

    class slot_random_fixture {
    protected:
        /** How many seeds to run; PLANTAINLATCH_SEEDS asks for more. */
        static std::uint64_t seedCount()
        {
            const char* asked = std::getenv("PLANTAINLATCH_SEEDS");
            return asked != nullptr ? std::strtoull(asked, nullptr, 10) : 30;
        }

        /** The first seed at which more work ran on an upstream than it has slots, or an invariant broke; none if there
         * is none. */
        static std::optional<std::uint64_t> firstOverload(broken_parts broken)
        {
            std::uint64_t begun = 0;
            for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
                slot_world world(seed, broken);
                if (breaksInvariant([&world] { return world.run() > capacity; }))
                    return seed;
                begun += world.worksBegun();
            }
            // Worlds in which little work ran would prove little; 12 slots for 60 s allow about 480 pieces.
            REQUIRE(begun > 100 * seedCount());
            return std::nullopt;
        }
    };

} // namespace

TEST_CASE_METHOD(slot_random_fixture, "slots.random_faults.never_more_work_than_slots")
{
    const std::optional<std::uint64_t> seed = firstOverload({});
    INFO("seed " << seed.value_or(0));
    REQUIRE_FALSE(seed.has_value());
}

TEST_CASE_METHOD(slot_random_fixture, "slots.new_allocator_that_does_not_wait.overloads")
{
    REQUIRE(firstOverload({ .earlierLoans = true }).has_value());
}

TEST_CASE_METHOD(slot_random_fixture, "slots.silent_holders_forgotten_early.overloads")
{
    REQUIRE(firstOverload({ .silentHolders = true }).has_value());
}

} // namespace plantainlatch
