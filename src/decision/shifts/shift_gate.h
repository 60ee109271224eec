#pragma once

/** \file
 * Decides from the target's latency and error ratio whether a traffic shift advances, holds or steps back.
 */

#include <cstdint>
#include <optional>

#include "core/clock.h"
#include "decision/shifts/measurement_window.h"

namespace plantainlatch {

/** The gate's verdict on a shift. */
enum class shift_advice {
    Hold,
    Advance,
    Undo,
};

/** Thresholds of the gate. Low and high watermarks with a dead band between them, a delay before a step is undone and a
 * cooldown after one was undone follow the Watermark Pod Autoscaler (v0.7.0). These performed better than a single
 * threshold in test/performance/shift_gate_benchmark.cpp. The autoscaler's delay before a step forward is left out,
 * since it only made shifts slower there. */
struct shift_gate_options {
    /** Latency watermarks, as multiples of the target's median latency before the shift. */
    double lowLatencyRatio = 1.5;
    double highLatencyRatio = 3.0;
    /** Error watermarks, as fractions of all requests. */
    double lowErrorRatio = 0.01;
    double highErrorRatio = 0.05;
    /** With fewer requests in the window, the measurements are too noisy to be used, and the shift is held. */
    std::uint64_t minimumRequests = 20;
    /** How long the target has to stay above a high watermark before a step is undone. */
    duration undoDelay = std::chrono::seconds(2);
    /** How long after an undone step the window still contains measurements from before it. The undo delay of the next
     * step starts only after that time. */
    duration settlingTime = std::chrono::seconds(3);
    /** How long no step forward is taken after one was undone. */
    duration cooldown = std::chrono::seconds(15);
};

/** The health gate of one shift. */
class shift_gate {
public:
    explicit shift_gate(shift_gate_options options)
        : m_options(options)
    {
    }

    /** Evaluates the target's latest measurements; the shift is held if there are none. The undo delay counts from the
     * first call that finds the target unhealthy. */
    shift_advice evaluate(const std::optional<domain_statistics>& statistics, duration baseline, time_point now);

private:
    enum class health {
        Healthy,
        /** Between the low and the high watermark. */
        Marginal,
        Unhealthy,
    };

    health assess(const domain_statistics& statistics, duration baseline) const;

    shift_gate_options m_options;
    std::optional<time_point> m_unhealthySince;
    std::optional<time_point> m_undoneAt;
};

} // namespace plantainlatch
