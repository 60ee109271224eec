#pragma once

/** \file
 * Counters and latencies of this VM, in the text exposition format.
 */

#include <functional>
#include <memory>
#include <string>

#include "core/clock.h"
#include "core/ids.h"
#include "core/outcome.h"
#include "kernel/service.h"
#include "model/http.h"

namespace plantainlatch {

/** Collects what the front ends see; published as "metrics". */
class metrics {
public:
    static constexpr const char* serviceName = "metrics";

    static std::unique_ptr<metrics> create();
    ~metrics();

    /** The kernel service; the metrics must outlive the kernel. */
    service asService();

    /** Counts one answer to a caller and its latency. Services beyond a bound are counted together as "other". */
    void recordAnswer(const service_id& target, outcome result, answer_reason reason, duration latency);
    /** Counts one caller that left before its answer. */
    void recordHangUp();
    /** Counts one answered look-up of entries. */
    void recordLookup();

    /** Adds a value that is read when the metrics are. */
    void addGauge(std::string name, std::string help, std::function<double()> read);

    /** Everything as text, one sample a line. */
    std::string exposition() const;

private:
    struct implementation;
    explicit metrics(std::unique_ptr<implementation> parts);
    std::unique_ptr<implementation> m_parts;
};

} // namespace plantainlatch
