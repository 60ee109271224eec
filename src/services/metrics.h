#pragma once

/** \file
 * Counters, gauges and latency histograms of this VM, in the Prometheus text exposition format.
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

/** One value of a family, with its labels. */
struct metric_sample {
    std::vector<std::pair<std::string, std::string>> labels;
    double value = 0;
};

/** Samples with a common name; `read` is called at each exposition. */
struct metric_family {
    std::string name;
    std::string help;
    /** `counter` or `gauge`. */
    std::string type;
    std::function<std::vector<metric_sample>()> read;
};

/** The route and service that an answer is counted for. */
struct answer_source {
    /** Empty if the service was not selected by a route. */
    route_id route;
    service_id service;
};

/** Collects the metrics of the front ends and the registered families; published as "metrics". */
class metrics {
public:
    static constexpr const char* serviceName = "metrics";

    static std::unique_ptr<metrics> create();
    ~metrics();

    /** The kernel service; the metrics must outlive the kernel. */
    service asService();

    /** Counts an answer to a caller and its latency. Once the number of names has reached its limit, new routes and
     * services are counted together as "other". */
    void recordAnswer(const answer_source& source, outcome result, answer_reason reason, duration latency);
    /** Counts a caller that disconnected before its answer. */
    void recordDisconnect();
    /** Counts an answered look-up of entries. */
    void recordLookup();

    void addFamily(metric_family family);
    /** Adds a family of a single value. */
    void addGauge(std::string name, std::string help, std::function<double()> read);

    /** All metrics as text, one sample per line. */
    std::string exposition() const;

private:
    struct implementation;
    explicit metrics(std::unique_ptr<implementation> parts);
    std::unique_ptr<implementation> m_parts;
};

} // namespace plantainlatch
