#include "fault_proxy/fault_set.h"

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

namespace plantainlatch {

namespace {

    constexpr std::uint64_t maximumDelayMilliseconds = 600'000;

    bool readFlag(const std::string& name, const nlohmann::json& value, fault_set& faults)
    {
        if (!value.is_boolean())
            return false;
        const bool flag = value.get<bool>();
        if (name == "stop_up")
            faults.stopUp = flag;
        else if (name == "stop_down")
            faults.stopDown = flag;
        else if (name == "refuse")
            faults.refuse = flag;
        else if (name == "half_open")
            faults.halfOpen = flag;
        else
            return false;
        return true;
    }

    bool readNumber(const std::string& name, const nlohmann::json& value, fault_set& faults)
    {
        if (!value.is_number_unsigned())
            return false;
        const auto number = value.get<std::uint64_t>();
        if (name == "delay_ms" && number <= maximumDelayMilliseconds)
            faults.delay = std::chrono::milliseconds(number);
        else if (name == "truncate_after")
            faults.truncateAfter = byte_count(number);
        else if (name == "rate")
            faults.rate = bytes_per_second(number);
        else
            return false;
        return true;
    }

} // namespace

absl::StatusOr<fault_set> parseFaults(const std::string& text)
{
    const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object())
        return absl::InvalidArgumentError("the faults are not a JSON object");
    fault_set faults;
    for (const auto& [name, value] : json.items()) {
        if (!readFlag(name, value, faults) && !readNumber(name, value, faults))
            return absl::InvalidArgumentError(absl::StrCat("'", name, "' is unknown or has an invalid value"));
    }
    return faults;
}

} // namespace plantainlatch
