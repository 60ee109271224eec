#include <algorithm>

#include <catch2/catch.hpp>

#include "decision/control/crash_table.h"
#include "support/from_environment.h"
#include "support/polled_pages.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t entryCount = 4;
    constexpr std::size_t upstreamCount = 16;
    constexpr std::size_t crashLimit = 3;
    constexpr duration contactTime = 4s;
    const char* const pageTargets[] = { "/popular", "/usual", "/rare" };

    /** A request that crashes each upstream which runs it, and the caller that sends it. */
    struct crashing_request {
        std::string target;
        std::uint64_t caller = 0;
    };

    /** Random ends of upstreams, resets, restarts of entries and crashing requests beside polled pages. The model knows
     * which requests are sound: those are served after the last disturbance, and the others are stopped. */
    class crash_guard_run {
    public:
        explicit crash_guard_run(std::uint64_t seed)
            : m_pages(seed, entryCount, upstreamCount, 6)
        {
            m_pages.work = 50ms + std::chrono::milliseconds(below(900));
            m_pages.cluster.upstreams.restartAfter = 500ms + std::chrono::milliseconds(below(6000));
            for (std::size_t entry = 0; entry < entryCount; ++entry)
                setLag(entry);
            if (below(2) == 0)
                m_crashing.target = below(2) == 0 ? "/bad" : pageTargets[below(std::size(pageTargets))];
            m_crashing.caller = below(4) == 0 ? 1 : 99;
            m_sharesCaller = m_crashing.caller == 1 && m_crashing.target != "/bad";
        }

        void run()
        {
            for (int second = 0; second < 40; ++second) {
                if (second > 2 && second < 20)
                    disturb();
                poll(1s);
            }
            // The last disturbance was 20 s ago, which is more than the recovery time and the deadline of a request.
            const std::size_t begin = m_pages.cluster.sent.size();
            m_sendsCrashing = false;
            poll(5s);
            m_pages.cluster.runtime.advance(5s);
            INFO("requests that crash: " << m_pages.crashingCalls.size());
            if (!m_sharesCaller)
                REQUIRE(m_pages.unservedSince(begin) == 0);
            checkCrashes();
        }

    private:
        std::uint64_t below(std::uint64_t bound) { return m_pages.cluster.runtime.random() % bound; }

        void setLag(std::size_t entry)
        {
            m_pages.cluster.entries[entry].log->applyLag = std::chrono::milliseconds(below(120));
        }

        upstream_id anyUpstream()
        {
            const std::vector<upstream_id> ids = m_pages.cluster.upstreams.ids();
            return ids[below(ids.size())];
        }

        void disturb()
        {
            switch (below(6)) {
            case 0:
                for (std::uint64_t i = 0; i <= below(5); ++i)
                    m_pages.cluster.upstreams.crash(anyUpstream());
                return;
            case 1:
                for (std::uint64_t i = 0; i <= below(5); ++i)
                    m_pages.cluster.upstreams.resetConnections(anyUpstream());
                return;
            case 2:
                restart(below(entryCount));
                return;
            default:
                return;
            }
        }

        void restart(std::size_t entry)
        {
            m_pages.cluster.kill(entry);
            m_pages.cluster.start(entry);
            setLag(entry);
        }

        void poll(duration span)
        {
            const time_point end = m_pages.cluster.runtime.now() + span;
            for (std::uint64_t step = 0; m_pages.cluster.runtime.now() < end; ++step) {
                send(pageTargets[0]);
                if (step % 10 == 0)
                    send(pageTargets[1]);
                if (step % 50 == 0)
                    send(pageTargets[2]);
                if (step % 25 == 0 && m_sendsCrashing && !m_crashing.target.empty())
                    m_pages.send(below(entryCount), m_crashing.caller, m_crashing.target, true);
                m_pages.cluster.runtime.advance(20ms);
            }
        }

        void send(const std::string& target)
        {
            m_pages.send(below(entryCount), 1 + below(polled_pages::callerCount), target);
        }

        /** Callers with the address of a sound one are told apart by nothing, so the bound holds only for the others.
         */
        void checkCrashes() const
        {
            if (m_sharesCaller)
                return;
            const std::vector<time_point>& calls = m_pages.crashingCalls;
            // Each entry may send it twice before it knows of the first crash, and forgets what it counted at a
            // restart.
            REQUIRE(calls.size() <= crashLimit + 2 * entryCount + maximumJudgedTrials);
            if (calls.size() <= crashLimit)
                return;
            const time_point third = calls[crashLimit - 1];
            REQUIRE(std::count_if(calls.begin(), calls.end(), [third](time_point at) {
                return at > third + contactTime;
            }) <= static_cast<std::ptrdiff_t>(maximumJudgedTrials));
        }

        polled_pages m_pages;
        crashing_request m_crashing;
        bool m_sharesCaller = false;
        bool m_sendsCrashing = true;
    };

    class crash_guard_random_fixture { };

} // namespace

// Guards against a guard that condemns sound requests, and one that does not stop those that crash their upstreams.
TEST_CASE_METHOD(crash_guard_random_fixture, "crash_guard.random_disturbances.stop_crashing_requests_and_no_others")
{
    const std::uint64_t begin = fromEnvironment("SEED_FIRST", 1);
    const std::uint64_t end = begin + fromEnvironment("SEED_COUNT", 50);
    for (std::uint64_t seed = begin; seed < end; ++seed) {
        INFO("seed " << seed);
        crash_guard_run(seed).run();
    }
}

} // namespace plantainlatch
