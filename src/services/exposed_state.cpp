#include "services/exposed_state.h"

#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"

namespace plantainlatch {

namespace {

    std::optional<double> numberOf(const state_dump::scalar& value)
    {
        if (const auto* flag = std::get_if<bool>(&value))
            return *flag ? 1 : 0;
        if (const auto* whole = std::get_if<std::int64_t>(&value))
            return static_cast<double>(*whole);
        if (const auto* number = std::get_if<double>(&value))
            return *number;
        return std::nullopt;
    }

    void addSamples(std::vector<metric_sample>& samples, const std::string& service, const std::string& path,
        const state_dump& node)
    {
        if (const std::optional<double> number = numberOf(node.value))
            samples.push_back({ { { "service", service }, { "item", path } }, *number });
        // Values within a list are not exported, because list items have no stable name to use as a label.
        if (node.isList)
            return;
        for (const state_dump& child : node.children)
            addSamples(samples, service, path.empty() ? child.name : absl::StrCat(path, ".", child.name), child);
    }

    std::vector<metric_sample> eventSamples(const log_statistics& logged)
    {
        std::vector<metric_sample> samples;
        for (const auto& [kind, count] : logged.events()) {
            samples.push_back({ { { "service", kind.service }, { "event", kind.what }, { "detail", kind.detail } },
                static_cast<double>(count) });
        }
        return samples;
    }

} // namespace

std::vector<metric_sample> samplesOf(const state_dump& dump)
{
    std::vector<metric_sample> samples;
    for (const state_dump& service : dump.children)
        addSamples(samples, service.name, {}, service);
    return samples;
}

void exposeState(metrics& numbers, std::function<state_dump()> dump, std::shared_ptr<const log_statistics> logged)
{
    numbers.addFamily({ "plantainlatch_events_total",
        "Decisions and changes of belief, whether their line was written "
        "or not.",
        "counter", [logged] { return eventSamples(*logged); } });
    numbers.addFamily({ "plantainlatch_log_lines_missing_total", "Lines that were not written.", "counter",
        [logged]() -> std::vector<metric_sample> {
            return { { { { "why", "limit" } }, static_cast<double>(logged->suppressed()) },
                { { { "why", "reader" } }, static_cast<double>(logged->lost()) } };
        } });
    numbers.addFamily({ "plantainlatch_state", "Numbers and flags of the state dump.", "gauge",
        [dump = std::move(dump)] { return samplesOf(dump()); } });
}

} // namespace plantainlatch
