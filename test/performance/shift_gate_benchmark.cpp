// Compares a plain gate for shifts with the means that the Watermark Pod Autoscaler offers, on noisy traces of a target
// that is cold after each step and truly suffers in some runs. Fixed seeds; no timing.

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
    /** In runs that suffer, the target cannot bear more than this. */
    constexpr int bearablePercent = 45;
    constexpr duration baseline = 10ms;

    /** A target whose latency is noisy, high while it is cold, and truly high beyond what it can bear. */
    class noisy_target {
    public:
        noisy_target(std::uint64_t seed, bool limited)
            : m_random(seed)
            , m_limited(limited)
        {
        }

        bool suffers(int percent) const { return m_limited && percent > bearablePercent; }

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
            if (suffers(percent)) {
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
        bool m_limited;
        std::lognormal_distribution<double> m_noise { 0.0, 0.18 };
        std::bernoulli_distribution m_spike { 0.03 };
        int m_spikeTicks = 0;
    };

    struct gate_score {
        double wrongUndos = 0;
        double secondsSuffering = 0;
        double secondsToEnd = 0;
        int unfinished = 0;
    };

    /** One run; the score counts undone steps of a target that was well, and time spent where it suffers. */
    void runOnce(const shift_gate_options& options, std::uint64_t seed, bool limited, gate_score& score)
    {
        shift_gate gate(options);
        noisy_target target(seed, limited);
        int percent = 0;
        time_point now {};
        time_point steppedAt {};
        for (int i = 0; i < ticksOfRun; ++i) {
            now += tick;
            const shift_advice advice = gate.judge(target.measure(percent, now - steppedAt), baseline, now);
            if (target.suffers(percent))
                score.secondsSuffering += 0.5;
            if (advice == shift_advice::Undo && percent > 0) {
                score.wrongUndos += target.suffers(percent) ? 0 : 1;
                percent -= stepPercent;
                steppedAt = now;
            } else if (advice == shift_advice::Advance && now - steppedAt >= stepInterval && percent < finalPercent) {
                percent += stepPercent;
                steppedAt = now;
            }
            if (!limited && percent == finalPercent) {
                score.secondsToEnd += std::chrono::duration<double>(now.time_since_epoch()).count();
                return;
            }
        }
        score.unfinished += limited ? 0 : 1;
    }

    void runAll(const std::string& name, const shift_gate_options& options)
    {
        gate_score score;
        for (int seed = 0; seed < runs; ++seed)
            runOnce(options, static_cast<std::uint64_t>(seed), seed % 2 == 1, score);
        const int half = runs / 2;
        const int finished = std::max(1, half - score.unfinished);
        std::printf("%-34s %6.2f undone wrongly a run, %6.1f s suffering a limited run, %6.1f s to the end, %3d of %d "
                    "unfinished\n",
            name.c_str(), score.wrongUndos / runs, score.secondsSuffering / half, score.secondsToEnd / finished,
            score.unfinished, half);
    }

    shift_gate_options plainGate()
    {
        shift_gate_options options;
        options.lowLatency = options.highLatency = 2.0;
        options.lowErrorRatio = options.highErrorRatio = 0.02;
        options.undoDelay = options.settle = options.calm = duration::zero();
        return options;
    }

} // namespace

} // namespace plantainlatch

int main()
{
    using namespace plantainlatch;
    shift_gate_options options = plainGate();
    runAll("plain threshold", options);
    const shift_gate_options chosen;
    options.lowLatency = chosen.lowLatency;
    options.highLatency = chosen.highLatency;
    options.lowErrorRatio = chosen.lowErrorRatio;
    options.highErrorRatio = chosen.highErrorRatio;
    runAll("two marks", options);
    options.undoDelay = chosen.undoDelay;
    runAll("two marks, undo delay", options);
    options.calm = chosen.calm;
    runAll("two marks, undo delay, calm", options);
    runAll("chosen (and settling)", chosen);
    options = plainGate();
    options.undoDelay = chosen.undoDelay;
    runAll("plain threshold, undo delay", options);
    options.calm = chosen.calm;
    runAll("plain threshold, delay, calm", options);
    return 0;
}
