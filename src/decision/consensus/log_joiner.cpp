#include "decision/consensus/log_joiner.h"

#include <algorithm>
#include <set>

namespace plantainlatch {

namespace {

    /** The term of the first entry; elections begin with the one after it. */
    constexpr log_term firstTerm { 1 };
    constexpr log_index firstIndex { 1 };

} // namespace

log_joiner::log_joiner(replica& self, log_leader& leader)
    : m_replica(self)
    , m_leader(leader)
{
}

void log_joiner::start()
{
    for (const vm_record& vm : m_replica.settings().vms) {
        m_seeds.push_back(vm.id);
        if (vm.replica && vm.id != m_replica.vm())
            m_others.push_back(vm.id);
    }
    beginWhenAllBlank();
}

bool log_joiner::decides() const
{
    const vm_settings& settings = m_replica.settings();
    return settings.mayBootstrapLog && settings.self.replica && m_replica.hasDisk() && m_replica.blank()
        && std::all_of(m_others.begin(), m_others.end(), [this](const vm_id& vm) { return m_replica.vm() < vm; });
}

bool log_joiner::holdsFirstEntryOnly() const
{
    return m_replica.hasDisk() && m_replica.log().lastIndex() == firstIndex
        && m_replica.log().termAt(firstIndex) == firstTerm && m_replica.committed() < firstIndex;
}

void log_joiner::onTick()
{
    const time_point now = m_replica.hooks().now();
    const bool hasLeader
        = m_replica.leader() != replica_id {} && now < m_replica.leaderHeard() + m_replica.options().electionTimeout;
    if (now < m_nextAsk || hasLeader || m_replica.role() == replica_role::Leader)
        return;
    m_nextAsk = now + m_replica.options().joinInterval;
    if (decides() || holdsFirstEntryOnly()) {
        askAll(m_others);
        return;
    }
    const std::vector<vm_id> vms = vmsToAsk();
    if (vms.empty())
        return;
    m_nextVm = (m_nextVm + 1) % vms.size();
    ask(vms[m_nextVm]);
}

std::vector<vm_id> log_joiner::vmsToAsk() const
{
    std::set<vm_id> vms(m_seeds.begin(), m_seeds.end());
    for (const replica_id& voter : m_replica.log().voters().voters)
        vms.insert(voter.vm);
    vms.erase(m_replica.vm());
    return { vms.begin(), vms.end() };
}

void log_joiner::askAll(const std::vector<vm_id>& vms)
{
    for (const vm_id& vm : vms)
        ask(vm);
}

void log_joiner::ask(const vm_id& vm)
{
    if (vm != m_replica.vm())
        m_replica.send(vm, join_request { m_replica.self(), m_replica.hasDisk(), m_replica.blank() });
}

void log_joiner::onJoinRequest(const vm_id& from, const join_request& request)
{
    if (m_replica.role() == replica_role::Leader)
        m_leader.addFollower(from);
    const bool isBlank = m_replica.hasDisk() && m_replica.blank();
    if (isBlank)
        m_ownPledge = m_replica.hooks().random() | 1;
    m_replica.send(from,
        join_answer { m_replica.self(), isBlank, m_replica.leader().vm, request.self, isBlank ? m_ownPledge : 0 });
}

void log_joiner::onJoinAnswer(const vm_id& from, const join_answer& answer)
{
    if (answer.asker != m_replica.self())
        return;
    // A learner that lost its leader still holds the former one's name.
    const bool isNews = m_replica.leader() == replica_id {} || answer.leader != m_replica.leader().vm;
    if (!answer.leader.empty() && answer.leader != from && isNews)
        ask(answer.leader);
    if (!answer.blank) {
        m_pledges.erase(from);
        return;
    }
    if (holdsFirstEntryOnly()) {
        handOutFirstEntry(from, answer);
        return;
    }
    m_pledges[from] = { answer.self, answer.pledge };
    beginWhenAllBlank();
}

void log_joiner::beginWhenAllBlank()
{
    if (!decides())
        return;
    voter_set voters;
    voters.voters.insert(m_replica.self());
    for (const vm_id& vm : m_others) {
        const auto pledge = m_pledges.find(vm);
        if (pledge == m_pledges.end())
            return;
        voters.voters.insert(pledge->second.by);
    }
    m_replica.report(log_level::Info, "begins a new log");
    if (m_replica.term() < firstTerm)
        m_replica.adoptTerm(firstTerm);
    m_replica.append({ log_entry { firstTerm, firstIndex, std::move(voters) } });
    m_pledges.clear();
    m_nextAsk = m_replica.hooks().now();
}

void log_joiner::handOutFirstEntry(const vm_id& to, const join_answer& answer)
{
    if (!m_replica.log().voters().voters.contains(answer.self))
        return;
    m_replica.whenDurable([this, to, pledge = answer.pledge] {
        if (!holdsFirstEntryOnly())
            return;
        m_replica.send(to,
            append_request { firstTerm, m_replica.self(), log_index(0), log_term(0), { m_replica.log().at(firstIndex) },
                log_index(0), pledge });
    });
}

bool log_joiner::isFirstEntry(const append_request& request) { return request.term == firstTerm; }

void log_joiner::onFirstEntry(const append_request& request)
{
    const bool isPledged = m_ownPledge != 0 && request.round == m_ownPledge;
    if (!isPledged || !m_replica.hasDisk() || !m_replica.blank() || m_replica.term() > firstTerm)
        return;
    const auto* voters = request.entries.size() == 1 ? std::get_if<voter_set>(&request.entries[0].content) : nullptr;
    if (voters == nullptr || !voters->voters.contains(m_replica.self()))
        return;
    m_ownPledge = 0;
    if (m_replica.term() < firstTerm)
        m_replica.adoptTerm(firstTerm);
    m_replica.append(request.entries);
}

} // namespace plantainlatch
