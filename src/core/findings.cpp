#include "core/findings.h"

#include <algorithm>
#include <tuple>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace plantainlatch {

namespace {

    bool isBefore(const finding& left, const finding& right)
    {
        return std::tie(left.position.file, left.position.line, left.position.column)
            < std::tie(right.position.file, right.position.line, right.position.column);
    }

} // namespace

std::string formatFinding(const finding& item)
{
    std::string text;
    if (!item.position.file.empty())
        absl::StrAppend(&text, item.position.file, ":");
    if (item.position.line > 0)
        absl::StrAppend(&text, item.position.line, ":", item.position.column, ":");
    if (!text.empty())
        text += ' ';
    text += item.what;
    if (!item.expected.empty())
        absl::StrAppend(&text, ", expected ", item.expected);
    return text;
}

void finding_list::add(text_position position, std::string what, std::string expected)
{
    if (m_items.size() >= maximumFindings) {
        ++m_dropped;
        return;
    }
    finding item { std::move(position), std::move(what), std::move(expected) };
    const auto next = std::upper_bound(m_items.begin(), m_items.end(), item, isBefore);
    m_items.insert(next, std::move(item));
}

void finding_list::append(const finding_list& other)
{
    for (const finding& item : other.m_items)
        add(item.position, item.what, item.expected);
    m_dropped += other.m_dropped;
}

std::string finding_list::format() const
{
    std::string text
        = absl::StrJoin(m_items, "\n", [](std::string* out, const finding& item) { out->append(formatFinding(item)); });
    if (m_dropped > 0)
        absl::StrAppend(&text, "\nand ", m_dropped, " more");
    return text;
}

absl::Status finding_list::toStatus() const
{
    if (empty())
        return absl::OkStatus();
    return absl::InvalidArgumentError(format());
}

} // namespace plantainlatch
