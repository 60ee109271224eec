#include "codec/log_json.h"

#include <nlohmann/json.hpp>

namespace plantainlatch {

std::optional<log_line> parseLogLine(const std::string& text)
{
    const std::size_t brace = text.find('{');
    if (brace == std::string::npos)
        return std::nullopt;
    const nlohmann::json parsed
        = nlohmann::json::parse(text.begin() + static_cast<std::ptrdiff_t>(brace), text.end(), nullptr, false);
    if (!parsed.is_object() || !parsed.contains("message"))
        return std::nullopt;
    log_line line;
    for (const auto& [key, value] : parsed.items())
        line.fields[key] = value.is_string() ? value.get<std::string>() : value.dump();
    line.time = line.field("time");
    line.vm = line.field("vm");
    line.service = line.field("service");
    line.what = line.field("message");
    return line;
}

} // namespace plantainlatch
