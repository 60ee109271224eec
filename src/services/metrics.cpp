#include "services/metrics.h"

#include <array>
#include <map>
#include <set>
#include <vector>

#include <boost/histogram.hpp>

#include "absl/strings/str_cat.h"

namespace plantainlatch {

namespace {

    namespace histogram = boost::histogram;

    using latency_axis = histogram::axis::variable<double, histogram::use_default, histogram::axis::option::overflow_t>;
    using latency_histogram = histogram::histogram<std::tuple<latency_axis>>;

    /** The maximum number of names of routes and services together, which bounds the number of series. */
    constexpr std::size_t maximumNames = 512;
    constexpr const char* otherName = "other";

    /** Upper bounds of the latency buckets, in seconds. */
    constexpr std::array<double, 16> bucketEnds { 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5,
        10, 30, 60 };

    latency_histogram makeLatencyHistogram()
    {
        std::vector<double> edges { 0 };
        edges.insert(edges.end(), bucketEnds.begin(), bucketEnds.end());
        return latency_histogram(latency_axis(edges));
    }

    /** The latencies of the answers with one series_key. */
    struct answer_series {
        latency_histogram latencies = makeLatencyHistogram();
        double secondsTotal = 0;
        std::uint64_t count = 0;
    };

    /** Answers that agree in all of these are counted together. */
    struct series_key {
        std::string route;
        std::string service;
        outcome result = outcome::NotRun;
        answer_reason reason = answer_reason::Upstream;

        friend auto operator<=>(const series_key&, const series_key&) = default;
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

    std::string escaped(const std::string& value)
    {
        std::string text;
        for (const char character : value) {
            if (character == '"' || character == '\\')
                text += '\\';
            text += character == '\n' ? ' ' : character;
        }
        return text;
    }

    void addSamples(std::string& text, const metric_family& family)
    {
        addHeader(text, family.name, family.help, family.type);
        for (const metric_sample& sample : family.read()) {
            std::string labels;
            for (const auto& [name, value] : sample.labels)
                absl::StrAppend(&labels, labels.empty() ? "" : ",", name, "=\"", escaped(value), "\"");
            absl::StrAppend(&text, family.name);
            if (!labels.empty())
                absl::StrAppend(&text, "{", labels, "}");
            absl::StrAppend(&text, " ", sample.value, "\n");
        }
    }

    void addSeries(std::string& text, const series_key& key, const answer_series& series)
    {
        static const std::string name = "plantainlatch_answer_seconds";
        const std::string labels = absl::StrCat(key.route.empty() ? "" : absl::StrCat("route=\"", key.route, "\","),
            "service=\"", key.service, "\",outcome=\"", std::string(outcomeName(key.result)), "\",reason=\"",
            std::string(answerReasonName(key.reason)), "\"");
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
    std::set<std::string> names;
    std::vector<metric_family> families;
    std::uint64_t lookups = 0;
    std::uint64_t disconnects = 0;

    const std::string& boundedName(const std::string& name)
    {
        static const std::string other = otherName;
        const auto found = names.find(name);
        if (found != names.end())
            return *found;
        return names.size() < maximumNames ? *names.insert(name).first : other;
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

void metrics::recordAnswer(const answer_source& source, outcome result, answer_reason reason, duration latency)
{
    const bool known = reason != answer_reason::UnknownService && reason != answer_reason::UnknownRoute;
    const std::string& route = m_parts->boundedName(source.route.value());
    const std::string& name = m_parts->boundedName(known ? source.service.value() : otherName);
    answer_series& series = m_parts->answers[{ route, name, result, reason }];
    const double seconds = std::chrono::duration<double>(latency).count();
    series.latencies(seconds);
    series.secondsTotal += seconds;
    ++series.count;
}

void metrics::recordDisconnect() { ++m_parts->disconnects; }

void metrics::recordLookup() { ++m_parts->lookups; }

void metrics::addGauge(std::string name, std::string help, std::function<double()> read)
{
    addFamily({ std::move(name), std::move(help), "gauge", [read = std::move(read)]() -> std::vector<metric_sample> {
                   return { { {}, read() } };
               } });
}

void metrics::addFamily(metric_family family) { m_parts->families.push_back(std::move(family)); }

std::string metrics::exposition() const
{
    std::string text;
    addSample(text, "plantainlatch_lookups_total", "Answered look-ups of entries.", m_parts->lookups);
    addSample(text, "plantainlatch_hang_ups_total", "Callers that left before their answer.", m_parts->disconnects);
    for (const metric_family& family : m_parts->families)
        addSamples(text, family);
    addHeader(text, "plantainlatch_answer_seconds", "Time from a whole request to its answer.", "histogram");
    for (const auto& [key, series] : m_parts->answers)
        addSeries(text, key, series);
    return text;
}

} // namespace plantainlatch
