#include "decision/consensus/log_store.h"

#include <utility>

#include "core/internal_assert.h"
#include "model/approximate_size.h"

namespace plantainlatch {

log_term log_store::lastTerm() const { return m_entries.empty() ? m_baseTerm : m_entries.back().entry.term; }

std::optional<log_term> log_store::termAt(log_index index) const
{
    if (index == m_base)
        return m_baseTerm;
    if (index < m_base || index > lastIndex())
        return std::nullopt;
    return at(index).term;
}

const log_entry& log_store::at(log_index index) const
{
    internal_assert(index > m_base && index <= lastIndex())
        << "entry " << index.value() << " requested from a log with base " << m_base.value() << " and last index "
        << lastIndex().value();
    return m_entries[index.value() - m_base.value() - 1].entry;
}

std::uint64_t log_store::endByteAt(log_index index) const
{
    internal_assert(index >= m_base && index <= lastIndex())
        << "size requested at " << index.value() << " of a log with base " << m_base.value() << " and last index "
        << lastIndex().value();
    return index == m_base ? m_baseByte : m_entries[index.value() - m_base.value() - 1].endByte;
}

std::uint64_t log_store::bytesBetween(log_index first, log_index last) const
{
    return endByteAt(last) - endByteAt(first);
}

log_index log_store::firstOfTerm(log_index index) const
{
    const std::optional<log_term> term = termAt(index);
    while (index > m_base && termAt(log_index(index.value() - 1)) == term)
        index = log_index(index.value() - 1);
    return index;
}

void log_store::append(log_entry entry)
{
    internal_assert(entry.index == lastIndex().next())
        << "entry " << entry.index.value() << " appended after entry " << lastIndex().value();
    internal_assert(entry.term >= lastTerm())
        << "entry of term " << entry.term.value() << " appended after term " << lastTerm().value();
    if (const auto* voters = std::get_if<voter_set>(&entry.content))
        m_voters.push_back({ entry.index, *voters });
    const std::uint64_t endByte = endByteAt(lastIndex()) + approximateSize(entry);
    m_entries.push_back({ std::move(entry), endByte });
}

void log_store::truncateFrom(log_index index)
{
    internal_assert(index > m_base) << "truncation at " << index.value() << " would remove compacted entries";
    while (lastIndex() >= index)
        m_entries.pop_back();
    while (m_voters.size() > 1 && m_voters.back().index >= index)
        m_voters.pop_back();
}

void log_store::compactTo(log_index index)
{
    if (index <= m_base)
        return;
    m_baseTerm = at(index).term;
    m_baseByte = endByteAt(index);
    const auto count = static_cast<std::ptrdiff_t>(index.value() - m_base.value());
    m_entries.erase(m_entries.begin(), m_entries.begin() + count);
    m_base = index;
    while (m_voters.size() > 1 && m_voters[1].index <= index)
        m_voters.erase(m_voters.begin());
    if (m_voters.front().index < index)
        m_voters.front().index = index;
}

void log_store::reset(log_index index, log_term term, voter_set voters)
{
    m_base = index;
    m_baseTerm = term;
    m_baseByte = 0;
    m_entries.clear();
    m_voters.clear();
    m_voters.push_back({ index, std::move(voters) });
}

const voter_set& log_store::votersAt(log_index index) const
{
    internal_assert(index >= m_base) << "voters requested at " << index.value() << ", before the base "
                                     << m_base.value();
    auto record = m_voters.rbegin();
    while (record->index > index)
        ++record;
    return record->voters;
}

} // namespace plantainlatch
