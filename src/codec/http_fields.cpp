#include "codec/http_fields.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cinttypes>
#include <cstdio>

namespace plantainlatch::http_fields {

namespace {

    constexpr double maximumSeconds = 86'400;
    constexpr std::int64_t millisecondsPerSecond = 1000;

    char lower(char letter) { return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter; }

} // namespace

bool sameName(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
        && std::equal(left.begin(), left.end(), right.begin(), [](char a, char b) { return lower(a) == lower(b); });
}

const header_field* find(const std::vector<header_field>& fields, std::string_view name)
{
    for (const header_field& field : fields) {
        if (sameName(field.name, name))
            return &field;
    }
    return nullptr;
}

bool isHopByHop(std::string_view name)
{
    static constexpr std::array<std::string_view, 11> names { "connection", "content-length", "expect", "keep-alive",
        "proxy-authenticate", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
        "x-plantainlatch-call" };
    return std::any_of(names.begin(), names.end(), [&](std::string_view item) { return sameName(item, name); });
}

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

bool isFieldValue(std::string_view value)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char deleteCharacter = 0x7f;
    const bool isPrintable = std::all_of(value.begin(), value.end(), [](char item) {
        const auto byte = static_cast<unsigned char>(item);
        return item == '\t' || (byte >= firstPrintable && byte != deleteCharacter);
    });
    return isPrintable && trimmed(value).size() == value.size();
}

bool listContains(std::string_view list, std::string_view name)
{
    while (!list.empty()) {
        const std::size_t comma = list.find(',');
        if (sameName(trimmed(list.substr(0, comma)), name))
            return true;
        if (comma == std::string_view::npos)
            return false;
        list.remove_prefix(comma + 1);
    }
    return false;
}

void keepEndToEnd(std::vector<header_field>& fields)
{
    std::string connection;
    for (const header_field& field : fields) {
        if (sameName(field.name, "Connection"))
            connection += field.value + ",";
    }
    std::erase_if(fields,
        [&](const header_field& field) { return isHopByHop(field.name) || listContains(connection, field.name); });
}

std::optional<duration> parseSeconds(std::string_view text)
{
    text = trimmed(text);
    double seconds = 0;
    const auto [end, error]
        = std::from_chars(text.data(), text.data() + text.size(), seconds, std::chars_format::fixed);
    if (error != std::errc() || end != text.data() + text.size() || !(seconds > 0) || seconds > maximumSeconds)
        return std::nullopt;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

std::string formatSeconds(duration span)
{
    const std::int64_t total = std::max<std::int64_t>(1, std::chrono::floor<std::chrono::milliseconds>(span).count());
    std::array<char, 32> buffer {};
    const int length = std::snprintf(buffer.data(), buffer.size(), "%" PRId64 ".%03" PRId64,
        total / millisecondsPerSecond, total % millisecondsPerSecond);
    return { buffer.data(), static_cast<std::size_t>(length) };
}

} // namespace plantainlatch::http_fields
