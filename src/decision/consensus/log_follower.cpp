#include "decision/consensus/log_follower.h"

#include <algorithm>
#include <utility>

namespace plantainlatch {

log_follower::log_follower(replica& self, std::function<void()> onLeaderContact)
    : m_replica(self)
    , m_onLeaderContact(std::move(onLeaderContact))
{
}

bool log_follower::acceptLeader(const vm_id& from, log_term term, const replica_id& leader, std::uint64_t round)
{
    if (term < m_replica.term()) {
        answer(from, round, false, log_index(0));
        return false;
    }
    if (term > m_replica.term())
        m_replica.adoptTerm(term);
    m_replica.noteLeaderContact(leader);
    m_onLeaderContact();
    return true;
}

void log_follower::onAppend(const vm_id& from, const append_request& request)
{
    if (!acceptLeader(from, request.term, request.leader, request.round))
        return;
    m_leaderCommitted = std::max(m_leaderCommitted, request.committed);
    const log_index previous = request.previousIndex;
    const bool isKnown = previous < m_replica.log().base() || m_replica.log().termAt(previous) == request.previousTerm;
    if (!isKnown) {
        answer(from, request.round, false, matchHint(previous));
        return;
    }
    const bool hasNewEntries = appendNewEntries(request);
    const log_index matched(std::max(previous.value() + request.entries.size(), m_replica.log().base().value()));
    m_replica.commitTo(std::min(request.committed, matched));
    if (!hasNewEntries && m_replica.writesIdle()) {
        answer(from, request.round, true, std::min(matched, m_replica.durableIndex()));
        return;
    }
    m_replica.whenDurable([this, from, matched, round = request.round, term = request.term] {
        if (m_replica.term() == term)
            answer(from, round, true, std::min(matched, m_replica.durableIndex()));
    });
}

bool log_follower::appendNewEntries(const append_request& request)
{
    std::vector<log_entry> added;
    for (const log_entry& entry : request.entries) {
        if (entry.index <= m_replica.log().base())
            continue;
        if (added.empty() && m_replica.log().termAt(entry.index) == entry.term)
            continue;
        if (added.empty() && entry.index <= m_replica.log().lastIndex())
            m_replica.truncateFrom(entry.index);
        added.push_back(entry);
    }
    const bool hasNewEntries = !added.empty();
    m_replica.append(std::move(added));
    return hasNewEntries;
}

log_index log_follower::matchHint(log_index previous) const
{
    if (previous > m_replica.log().lastIndex())
        return m_replica.log().lastIndex();
    const log_index first = m_replica.log().firstOfTerm(previous);
    const log_index before(first.value() == 0 ? 0 : first.value() - 1);
    return std::max(before, m_replica.committed());
}

void log_follower::onSnapshot(const vm_id& from, const snapshot_request& request)
{
    if (!acceptLeader(from, request.term, request.leader, request.round))
        return;
    const log_index index = request.snapshot.index;
    m_leaderCommitted = std::max(m_leaderCommitted, index);
    if (index > m_replica.applied()) {
        m_replica.installSnapshot(request.snapshot);
        m_replica.report(log_level::Info, "took a snapshot");
    }
    m_replica.whenDurable([this, from, index, round = request.round, term = request.term] {
        if (m_replica.term() == term)
            answer(from, round, true, std::min(index, m_replica.durableIndex()));
    });
}

void log_follower::answer(const vm_id& to, std::uint64_t round, bool matched, log_index index)
{
    m_replica.send(to,
        append_answer {
            m_replica.term(), m_replica.self(), matched, index, round, m_replica.applied(), m_replica.hasDisk() });
}

} // namespace plantainlatch
