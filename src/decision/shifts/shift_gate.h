#pragma once

/** \file
 * Judges from the target's measurements whether a shift may go on, has to wait, or has to go back.
 */

#include <cstdint>
#include <optional>

#include "core/clock.h"
#include "decision/shifts/measurement_window.h"

namespace plantainlatch {

/** What a shift may do now. */
enum class shift_advice {
    Hold,
    Advance,
    Undo,
};

/** Bounds of the gate. Latencies are multiples of the target's latency before the shift. The two marks with room
 * between them, the delay above the high mark and the calm after an undone step follow the Watermark Pod Autoscaler
 * (v0.7.0). Of its means they are the ones that measure better than a plain threshold in
 * test/performance/shift_gate_benchmark.cpp: a delay before a step forward only made shifts slower. */
struct shift_gate_options {
    double lowLatency = 1.5;
    double highLatency = 3.0;
    double lowErrorRatio = 0.01;
    double highErrorRatio = 0.05;
    /** Fewer requests over the window than this say nothing. */
    std::uint64_t minimumRequests = 20;
    /** The target has to stay above a high mark for this long before a step is undone. */
    duration undoDelay = std::chrono::seconds(2);
    /** For so long after an undone step the measurements still show what was before it. */
    duration settle = std::chrono::seconds(3);
    /** No step forward for this long after one was undone. */
    duration calm = std::chrono::seconds(15);
};

/** The gate of one shift; it remembers since when the target suffered. */
class shift_gate {
public:
    explicit shift_gate(shift_gate_options options)
        : m_options(options)
    {
    }

    /** Judges the latest signal; none stands for missing measurements, which hold the shift. */
    shift_advice judge(const std::optional<domain_statistics>& statistics, duration baseline, time_point now);

private:
    enum class health {
        Well,
        Between,
        Suffering,
    };

    health assess(const domain_statistics& statistics, duration baseline) const;

    shift_gate_options m_options;
    std::optional<time_point> m_sufferingSince;
    std::optional<time_point> m_undoneAt;
};

} // namespace plantainlatch
