// Compares shift gates with a single threshold and with the mechanisms of the Watermark Pod Autoscaler: two watermarks,
// a delay, and a cooldown. The simulated target has noisy latency, is cold after each step, and is overloaded beyond a
// given percentage in half of the runs ("limited"). Seeds are fixed and no run time is measured, so the results are
// deterministic.

#include <cmath>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

#include "decision/shifts/shift_gate.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    constexpr duration tick = 500ms;
    constexpr duration stepInterval = 5s;
    constexpr int runs = 400;
    constexpr int ticksOfRun = 600;
    constexpr int finalPercent = 100;
    constexpr int stepPercent = 10;
    /** In runs with limited capacity, the target is overloaded above this percentage. */
    constexpr int capacityPercent = 45;
    constexpr duration baseline = 10ms;

    /** A target with noisy latency, which is higher while the target is cold, and high when it is overloaded. */
    class noisy_target {
    public:
        noisy_target(std::uint64_t seed, bool limitedCapacity)
            : m_random(seed)
            , m_limitedCapacity(limitedCapacity)
        {
        }

        bool isOverloaded(int percent) const { return m_limitedCapacity && percent > capacityPercent; }

        domain_statistics measure(int percent, duration sinceStep)
        {
            const double cold = 1.2 * std::exp(-std::chrono::duration<double>(sinceStep).count() / 2.0);
            double ratio = (1.0 + cold) * m_noise(m_random);
            if (m_spike(m_random))
                m_spikeTicks = 2;
            if (m_spikeTicks > 0) {
                --m_spikeTicks;
                ratio *= 3.5;
            }
            double errors = m_spike(m_random) ? 0.03 : 0.002;
            if (isOverloaded(percent)) {
                ratio *= 3.5;
                errors += 0.04;
            }
            domain_statistics statistics;
            statistics.requests = 200;
            statistics.failed = static_cast<std::uint64_t>(errors * 200);
            statistics.medianLatency = duration(static_cast<std::int64_t>(baseline.count() * ratio));
            return statistics;
        }

    private:
        std::mt19937_64 m_random;
        bool m_limitedCapacity;
        std::lognormal_distribution<double> m_noise { 0.0, 0.18 };
        std::bernoulli_distribution m_spike { 0.03 };
        int m_spikeTicks = 0;
    };

    struct gate_score {
        double falseUndos = 0;
        double overloadedSeconds = 0;
        double secondsToFinish = 0;
        int unfinished = 0;
    };

    /** Simulates one run and adds to the score: steps that were undone although the target was not overloaded, and the
     * time for which it was overloaded. */
    void runOnce(const shift_gate_options& options, std::uint64_t seed, bool limitedCapacity, gate_score& score)
    {
        shift_gate gate(options);
        noisy_target target(seed, limitedCapacity);
        int percent = 0;
        time_point now {};
        time_point steppedAt {};
        for (int i = 0; i < ticksOfRun; ++i) {
            now += tick;
            const shift_advice advice = gate.evaluate(target.measure(percent, now - steppedAt), baseline, now);
            if (target.isOverloaded(percent))
                score.overloadedSeconds += 0.5;
            if (advice == shift_advice::Undo && percent > 0) {
                score.falseUndos += target.isOverloaded(percent) ? 0 : 1;
                percent -= stepPercent;
                steppedAt = now;
            } else if (advice == shift_advice::Advance && now - steppedAt >= stepInterval && percent < finalPercent) {
                percent += stepPercent;
                steppedAt = now;
            }
            if (!limitedCapacity && percent == finalPercent) {
                score.secondsToFinish += std::chrono::duration<double>(now.time_since_epoch()).count();
                return;
            }
        }
        score.unfinished += limitedCapacity ? 0 : 1;
    }

    void runAll(const std::string& name, const shift_gate_options& options)
    {
        gate_score score;
        for (int seed = 0; seed < runs; ++seed)
            runOnce(options, static_cast<std::uint64_t>(seed), seed % 2 == 1, score);
        const int runsOfEachKind = runs / 2;
        const int finished = std::max(1, runsOfEachKind - score.unfinished);
        std::printf("%-34s %6.2f false undos per run, %6.1f s overloaded per limited run, %6.1f s to finish, %3d of %d "
                    "unfinished\n",
            name.c_str(), score.falseUndos / runs, score.overloadedSeconds / runsOfEachKind,
            score.secondsToFinish / finished, score.unfinished, runsOfEachKind);
    }

    shift_gate_options singleThresholdGate()
    {
        shift_gate_options options;
        options.lowLatencyRatio = options.highLatencyRatio = 2.0;
        options.lowErrorRatio = options.highErrorRatio = 0.02;
        options.undoDelay = options.settlingTime = options.cooldown = duration::zero();
        return options;
    }

} // namespace

} // namespace plantainlatch

int main()
{
    using namespace plantainlatch;
    shift_gate_options options = singleThresholdGate();
    runAll("single threshold", options);
    const shift_gate_options chosen;
    options.lowLatencyRatio = chosen.lowLatencyRatio;
    options.highLatencyRatio = chosen.highLatencyRatio;
    options.lowErrorRatio = chosen.lowErrorRatio;
    options.highErrorRatio = chosen.highErrorRatio;
    runAll("watermarks", options);
    options.undoDelay = chosen.undoDelay;
    runAll("watermarks, undo delay", options);
    options.cooldown = chosen.cooldown;
    runAll("watermarks, undo delay, cooldown", options);
    runAll("chosen (with settling time)", chosen);
    options = singleThresholdGate();
    options.undoDelay = chosen.undoDelay;
    runAll("single threshold, undo delay", options);
    options.cooldown = chosen.cooldown;
    runAll("single threshold, delay, cooldown", options);
    return 0;
}
