#include "load_tool/run_report.h"

#include <algorithm>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/indexed.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace plantainlatch {

namespace {

    /** Range of the histogram in milliseconds; each of its logarithmic bins is about 1% wide. */
    constexpr double minimumLatency = 0.01;
    constexpr double maximumLatency = 100'000;
    constexpr unsigned binCount = 1600;

    using latency_axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

    double milliseconds(duration span) { return std::chrono::duration<double, std::milli>(span).count(); }

    duration fromMilliseconds(double value)
    {
        return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(value));
    }

    std::string countsText(const nlohmann::json& counts)
    {
        std::string text;
        for (const auto& [name, count] : counts.items())
            absl::StrAppend(&text, text.empty() ? "" : ", ", name, " ", count.get<std::uint64_t>());
        return text.empty() ? "none" : text;
    }

} // namespace

struct run_report::histogram {
    decltype(boost::histogram::make_histogram(latency_axis(binCount, minimumLatency, maximumLatency))) counts
        = boost::histogram::make_histogram(latency_axis(binCount, minimumLatency, maximumLatency));
    std::uint64_t total = 0;
};

run_report::run_report()
    : m_latencies(std::make_unique<histogram>())
{
}

run_report::~run_report() = default;

void run_report::ended(const request_end& end)
{
    ++m_outcomes[end.outcome];
    if (end.status == 0)
        return;
    ++m_answered;
    ++m_statuses[end.status];
    ++m_reasons[end.reason];
    const bool fromUpstream = end.outcome == "completed" || end.outcome == "replayed";
    if (fromUpstream && !end.ownAnswer)
        ++m_foreignAnswers;
    if (!fromUpstream || !end.ownAnswer || end.status >= 300)
        return;
    ++m_servedCount;
    ++m_served[workKindName(end.kind)];
    ++m_latencies->total;
    m_latencies->counts(milliseconds(end.latency));
    m_slowest = std::max(m_slowest, end.latency);
}

void run_report::setLookups(std::uint64_t all, std::uint64_t failed)
{
    m_lookups = all;
    m_failedLookups = failed;
}

std::uint64_t run_report::sentCount() const
{
    std::uint64_t sum = 0;
    for (const auto& [kind, count] : m_sent)
        sum += count;
    return sum;
}

bool run_report::allServed() const { return m_servedCount == sentCount() && m_foreignAnswers == 0; }

duration run_report::quantile(double share) const
{
    const double wanted = share * static_cast<double>(m_latencies->total);
    double seen = 0;
    for (auto&& bin : boost::histogram::indexed(m_latencies->counts, boost::histogram::coverage::all)) {
        seen += static_cast<double>(*bin);
        if (seen >= wanted && seen > 0)
            return std::min(fromMilliseconds(bin.bin().upper()), m_slowest);
    }
    return m_slowest;
}

std::string run_report::json() const
{
    nlohmann::json statuses = nlohmann::json::object();
    for (const auto& [status, count] : m_statuses)
        statuses[absl::StrCat(status)] = count;
    const nlohmann::json report { { "sent", sentCount() }, { "sent_by_kind", m_sent }, { "answered", m_answered },
        { "served", m_servedCount }, { "served_by_kind", m_served }, { "outcomes", m_outcomes },
        { "reasons", m_reasons }, { "statuses", statuses }, { "foreign_answers", m_foreignAnswers },
        { "resent", m_resent }, { "lookups", m_lookups }, { "failed_lookups", m_failedLookups },
        { "seconds", std::chrono::duration<double>(m_elapsed).count() },
        { "latency_ms",
            { { "p50", milliseconds(quantile(0.5)) }, { "p99", milliseconds(quantile(0.99)) },
                { "p99.9", milliseconds(quantile(0.999)) }, { "max", milliseconds(m_slowest) } } } };
    return report.dump(2);
}

std::string run_report::text() const
{
    const nlohmann::json report = nlohmann::json::parse(json());
    const nlohmann::json& latency = report["latency_ms"];
    return absl::StrFormat("sent      %d in %.1f s (%s), sent again %d\n"
                           "answered  %d, served %d, answers to another request %d\n"
                           "outcomes  %s\n"
                           "statuses  %s\n"
                           "latency   p50 %.2f ms, p99 %.2f ms, p99.9 %.2f ms, max %.2f ms\n"
                           "look-ups  %d, failed %d\n",
        sentCount(), report["seconds"].get<double>(), countsText(report["sent_by_kind"]), m_resent, m_answered,
        m_servedCount, m_foreignAnswers, countsText(report["outcomes"]), countsText(report["statuses"]),
        latency["p50"].get<double>(), latency["p99"].get<double>(), latency["p99.9"].get<double>(),
        latency["max"].get<double>(), m_lookups, m_failedLookups);
}

} // namespace plantainlatch
