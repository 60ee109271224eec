#include "services/metrics.h"

#include <array>
#include <map>
#include <vector>

#include <boost/histogram.hpp>

#include "absl/strings/str_cat.h"

namespace plantainlatch {

namespace {

    namespace histogram = boost::histogram;

    using latency_axis = histogram::axis::variable<double, histogram::use_default, histogram::axis::option::overflow_t>;
    using latency_histogram = histogram::histogram<std::tuple<latency_axis>>;

    constexpr std::size_t largestServices = 256;
    constexpr const char* otherServices = "other";

    /** Where the buckets of latencies end, in seconds; the first begins at 0. */
    constexpr std::array<double, 16> bucketEnds { 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5,
        10, 30, 60 };

    latency_histogram makeLatencyHistogram()
    {
        std::vector<double> edges { 0 };
        edges.insert(edges.end(), bucketEnds.begin(), bucketEnds.end());
        return latency_histogram(latency_axis(edges));
    }

    /** The answers of one kind to the callers of one service. */
    struct answer_series {
        latency_histogram latencies = makeLatencyHistogram();
        double secondsTotal = 0;
        std::uint64_t count = 0;
    };

    /** Which answers are counted together. */
    struct series_key {
        std::string service;
        outcome result = outcome::NotRun;
        answer_reason reason = answer_reason::Upstream;

        friend auto operator<=>(const series_key&, const series_key&) = default;
    };

    struct gauge {
        std::string name;
        std::string help;
        std::function<double()> read;
    };

    void addHeader(std::string& text, const std::string& name, const std::string& help, const std::string& type)
    {
        absl::StrAppend(&text, "# HELP ", name, " ", help, "\n# TYPE ", name, " ", type, "\n");
    }

    void addSample(std::string& text, const std::string& name, const std::string& help, std::uint64_t value)
    {
        addHeader(text, name, help, "counter");
        absl::StrAppend(&text, name, " ", value, "\n");
    }

    void addSeries(std::string& text, const series_key& key, const answer_series& series)
    {
        static const std::string name = "plantainlatch_answer_seconds";
        const std::string labels = absl::StrCat("service=\"", key.service, "\",outcome=\"",
            std::string(outcomeName(key.result)), "\",reason=\"", std::string(answerReasonName(key.reason)), "\"");
        std::uint64_t below = 0;
        for (std::size_t i = 0; i < bucketEnds.size(); ++i) {
            below += static_cast<std::uint64_t>(series.latencies.at(static_cast<int>(i)));
            absl::StrAppend(&text, name, "_bucket{", labels, ",le=\"", bucketEnds[i], "\"} ", below, "\n");
        }
        absl::StrAppend(&text, name, "_bucket{", labels, ",le=\"+Inf\"} ", series.count, "\n");
        absl::StrAppend(&text, name, "_sum{", labels, "} ", series.secondsTotal, "\n");
        absl::StrAppend(&text, name, "_count{", labels, "} ", series.count, "\n");
    }

} // namespace

struct metrics::implementation {
    std::map<series_key, answer_series> answers;
    std::map<std::string, std::uint64_t> services;
    std::vector<gauge> gauges;
    std::uint64_t lookups = 0;
    std::uint64_t hangUps = 0;

    const std::string& boundedName(const std::string& name)
    {
        static const std::string other = otherServices;
        const auto found = services.find(name);
        if (found != services.end())
            return found->first;
        return services.size() < largestServices ? services.emplace(name, 0).first->first : other;
    }
};

metrics::metrics(std::unique_ptr<implementation> parts)
    : m_parts(std::move(parts))
{
}

metrics::~metrics() = default;

std::unique_ptr<metrics> metrics::create()
{
    return std::unique_ptr<metrics>(new metrics(std::make_unique<implementation>()));
}

service metrics::asService()
{
    service item;
    item.name = serviceName;
    item.start = [this](registry& services) { return services.publish(serviceName, *this); };
    return item;
}

void metrics::recordAnswer(const service_id& target, outcome result, answer_reason reason, duration latency)
{
    const bool known = reason != answer_reason::UnknownService;
    const std::string& name = known ? m_parts->boundedName(target.value()) : m_parts->boundedName(otherServices);
    answer_series& series = m_parts->answers[{ name, result, reason }];
    const double seconds = std::chrono::duration<double>(latency).count();
    series.latencies(seconds);
    series.secondsTotal += seconds;
    ++series.count;
}

void metrics::recordHangUp() { ++m_parts->hangUps; }

void metrics::recordLookup() { ++m_parts->lookups; }

void metrics::addGauge(std::string name, std::string help, std::function<double()> read)
{
    m_parts->gauges.push_back({ std::move(name), std::move(help), std::move(read) });
}

std::string metrics::exposition() const
{
    std::string text;
    addSample(text, "plantainlatch_lookups_total", "Answered look-ups of entries.", m_parts->lookups);
    addSample(text, "plantainlatch_hang_ups_total", "Callers that left before their answer.", m_parts->hangUps);
    for (const gauge& item : m_parts->gauges) {
        addHeader(text, item.name, item.help, "gauge");
        absl::StrAppend(&text, item.name, " ", item.read(), "\n");
    }
    addHeader(text, "plantainlatch_answer_seconds", "Time from a whole request to its answer.", "histogram");
    for (const auto& [key, series] : m_parts->answers)
        addSeries(text, key, series);
    return text;
}

} // namespace plantainlatch
