#include "codec/load_report_json.h"

#include <limits>
#include <optional>

#include <nlohmann/json.hpp>

namespace plantainlatch {

namespace {

    std::optional<std::uint32_t> readCount(const nlohmann::json& object, const char* name)
    {
        const auto found = object.find(name);
        if (found == object.end() || !found->is_number_unsigned())
            return std::nullopt;
        const auto value = found->get<std::uint64_t>();
        if (value > std::numeric_limits<std::uint32_t>::max())
            return std::nullopt;
        return static_cast<std::uint32_t>(value);
    }

} // namespace

absl::StatusOr<load_report> parseLoadReport(const std::string& text)
{
    const nlohmann::json object = nlohmann::json::parse(text, nullptr, false);
    if (!object.is_object())
        return absl::InvalidArgumentError("a load report must be a JSON object");
    const std::optional<std::uint32_t> running = readCount(object, "running");
    const std::optional<std::uint32_t> queued = readCount(object, "queued");
    if (!running || !queued)
        return absl::InvalidArgumentError("a load report needs the counts 'running' and 'queued'");
    const auto draining = object.find("draining");
    if (draining != object.end() && !draining->is_boolean())
        return absl::InvalidArgumentError("'draining' must be true or false");
    load_report report;
    report.running = *running;
    report.queued = *queued;
    report.draining = draining != object.end() && draining->get<bool>();
    return report;
}

} // namespace plantainlatch
