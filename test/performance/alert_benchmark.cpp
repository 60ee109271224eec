// Counts the false, missed and repeated alerts of each filter on random traces with fixed seeds: real risks of half a
// minute to five minutes, observed with bursts of wrong readings.

#include <cstdio>
#include <random>

#include "decision/alerts/alert_tracker.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    constexpr duration tick = 500ms;
    constexpr duration raiseAfter = 8s;
    constexpr int runs = 200;
    constexpr int ticksOfRun = 7200;
    /** An alert raised within this time after the risk ended is attributed to it. */
    constexpr int attributionTicks = 40;

    /** A simulated risk, and its noisy observation. */
    class noisy_risk {
    public:
        explicit noisy_risk(std::uint64_t seed)
            : m_random(seed)
        {
        }

        bool isReal() const { return m_realTicks > 0; }
        int ticksSinceReal() const { return m_ticksSinceReal; }
        bool hasJustBegun() const { return m_began; }

        bool observe()
        {
            m_began = false;
            if (m_realTicks > 0) {
                --m_realTicks;
                m_ticksSinceReal = 0;
            } else {
                ++m_ticksSinceReal;
                m_began = m_ticksSinceReal > 400 && m_begins(m_random);
                if (m_began)
                    m_realTicks = m_length(m_random);
            }
            if (m_misreadTicks > 0)
                --m_misreadTicks;
            else if (m_misreadBegins(m_random))
                m_misreadTicks = m_misreadLength(m_random);
            return isReal() != (m_misreadTicks > 0);
        }

    private:
        std::mt19937_64 m_random;
        std::bernoulli_distribution m_begins { 0.002 };
        std::uniform_int_distribution<int> m_length { 60, 600 };
        std::bernoulli_distribution m_misreadBegins { 0.05 };
        std::uniform_int_distribution<int> m_misreadLength { 1, 6 };
        int m_realTicks = 0;
        int m_ticksSinceReal = 100000;
        int m_misreadTicks = 0;
        bool m_began = false;
    };

    struct alert_score {
        int risks = 0;
        int falseAlerts = 0;
        int missed = 0;
        int repeated = 0;
    };

    void runOnce(alert_filter filter, std::uint64_t seed, alert_score& score)
    {
        alert_tracker tracker(filter);
        noisy_risk risk(seed);
        time_point now {};
        int raisedForRisk = 0;
        bool isUnscored = false;
        for (int i = 0; i < ticksOfRun; ++i) {
            now += tick;
            const bool observed = risk.observe();
            if (risk.hasJustBegun()) {
                ++score.risks;
                raisedForRisk = 0;
                isUnscored = true;
            }
            std::vector<risk_condition> found;
            if (observed)
                found.push_back({ "risk", "", "", "", raiseAfter });
            const int raised = static_cast<int>(tracker.update(found, now, {}).raised.size());
            const bool attributed = risk.isReal() || risk.ticksSinceReal() <= attributionTicks;
            (attributed ? raisedForRisk : score.falseAlerts) += raised;
            if (isUnscored && !attributed) {
                score.missed += raisedForRisk == 0 ? 1 : 0;
                score.repeated += raisedForRisk > 1 ? raisedForRisk - 1 : 0;
                isUnscored = false;
            }
        }
    }

    void runAll(const char* name, alert_filter filter)
    {
        alert_score score;
        for (int seed = 0; seed < runs; ++seed)
            runOnce(filter, static_cast<std::uint64_t>(seed), score);
        std::printf("%-10s %d risks in %d hours: %6d false, %4d missed, %6d repeated\n", name, score.risks, runs,
            score.falseAlerts, score.missed, score.repeated);
    }

} // namespace

} // namespace plantainlatch

int main()
{
    using namespace plantainlatch;
    runAll("plain", alert_filter::Plain);
    runAll("unbroken", alert_filter::Unbroken);
    runAll("leaky", alert_filter::Leaky);
    return 0;
}
