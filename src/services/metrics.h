#pragma once

/** \file
 * Counters and latencies of this VM, in the text exposition format.
 */

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "core/outcome.h"
#include "kernel/service.h"
#include "model/http.h"

namespace plantainlatch {

/** One value of a family and what tells it from the others. */
struct metric_sample {
    std::vector<std::pair<std::string, std::string>> labels;
    double value = 0;
};

/** Values of one name that are read when the metrics are. */
struct metric_family {
    std::string name;
    std::string help;
    /** `counter` or `gauge`. */
    std::string type;
    std::function<std::vector<metric_sample>()> read;
};

/** What the answers that are counted together have in common. */
struct answer_source {
    /** Empty where no route selects. */
    route_id route;
    service_id service;
};

/** Collects what the front ends see; published as "metrics". */
class metrics {
public:
    static constexpr const char* serviceName = "metrics";

    static std::unique_ptr<metrics> create();
    ~metrics();

    /** The kernel service; the metrics must outlive the kernel. */
    service asService();

    /** Counts one answer to a caller and its latency. Routes and services beyond a bound are counted together as
     * "other".
     */
    void recordAnswer(const answer_source& source, outcome result, answer_reason reason, duration latency);
    /** Counts one caller that left before its answer. */
    void recordHangUp();
    /** Counts one answered look-up of entries. */
    void recordLookup();

    void addFamily(metric_family family);
    /** Adds a family of a single value. */
    void addGauge(std::string name, std::string help, std::function<double()> read);

    /** Everything as text, one sample a line. */
    std::string exposition() const;

private:
    struct implementation;
    explicit metrics(std::unique_ptr<implementation> parts);
    std::unique_ptr<implementation> m_parts;
};

} // namespace plantainlatch
