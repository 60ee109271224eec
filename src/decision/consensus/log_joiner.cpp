#include "decision/consensus/log_joiner.h"

#include <algorithm>
#include <set>

namespace plantainlatch {

namespace {

    /** The term of the first entry; elections use later terms. */
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
            m_otherReplicas.push_back(vm.id);
    }
    bootstrapIfAllBlank();
}

bool log_joiner::isBootstrapper() const
{
    const vm_settings& settings = m_replica.settings();
    return settings.mayBootstrapLog && settings.self.replica && m_replica.hasDisk() && m_replica.blank()
        && std::all_of(
            m_otherReplicas.begin(), m_otherReplicas.end(), [this](const vm_id& vm) { return m_replica.vm() < vm; });
}

bool log_joiner::holdsFirstEntryOnly() const
{
    return m_replica.hasDisk() && m_replica.log().lastIndex() == firstIndex
        && m_replica.log().termAt(firstIndex) == firstTerm && m_replica.committed() < firstIndex;
}

void log_joiner::onTick()
{
    const time_point now = m_replica.hooks().now();
    const bool hasLeader = m_replica.leader() != replica_id {}
        && now < m_replica.lastLeaderContact() + m_replica.options().electionTimeout;
    if (now < m_nextRequestAt || hasLeader || m_replica.role() == replica_role::Leader)
        return;
    m_nextRequestAt = now + m_replica.options().joinInterval;
    if (isBootstrapper() || holdsFirstEntryOnly()) {
        sendJoinRequests(m_otherReplicas);
        return;
    }
    const std::vector<vm_id> vms = joinTargets();
    if (vms.empty())
        return;
    m_nextTarget = (m_nextTarget + 1) % vms.size();
    sendJoinRequest(vms[m_nextTarget]);
}

std::vector<vm_id> log_joiner::joinTargets() const
{
    std::set<vm_id> vms(m_seeds.begin(), m_seeds.end());
    for (const replica_id& voter : m_replica.log().voters().voters)
        vms.insert(voter.vm);
    vms.erase(m_replica.vm());
    return { vms.begin(), vms.end() };
}

void log_joiner::sendJoinRequests(const std::vector<vm_id>& vms)
{
    for (const vm_id& vm : vms)
        sendJoinRequest(vm);
}

void log_joiner::sendJoinRequest(const vm_id& vm)
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
        m_issuedToken = m_replica.hooks().random() | 1;
    m_replica.send(from,
        join_answer { m_replica.self(), isBlank, m_replica.leader().vm, request.self, isBlank ? m_issuedToken : 0 });
}

void log_joiner::onJoinAnswer(const vm_id& from, const join_answer& answer)
{
    if (answer.requester != m_replica.self())
        return;
    // A learner that lost contact with its leader still remembers it, and sends a join request only if the answer names
    // another leader.
    const bool isOtherLeader = m_replica.leader() == replica_id {} || answer.leader != m_replica.leader().vm;
    if (!answer.leader.empty() && answer.leader != from && isOtherLeader)
        sendJoinRequest(answer.leader);
    if (!answer.blank) {
        m_tokens.erase(from);
        return;
    }
    if (holdsFirstEntryOnly()) {
        sendFirstEntry(from, answer);
        return;
    }
    m_tokens[from] = { answer.self, answer.bootstrapToken };
    bootstrapIfAllBlank();
}

void log_joiner::bootstrapIfAllBlank()
{
    if (!isBootstrapper())
        return;
    voter_set voters;
    voters.voters.insert(m_replica.self());
    for (const vm_id& vm : m_otherReplicas) {
        const auto token = m_tokens.find(vm);
        if (token == m_tokens.end())
            return;
        voters.voters.insert(token->second.issuer);
    }
    m_replica.report(log_level::Info, "begins a new log");
    if (m_replica.term() < firstTerm)
        m_replica.adoptTerm(firstTerm);
    m_replica.append({ log_entry { firstTerm, firstIndex, std::move(voters) } });
    m_tokens.clear();
    m_nextRequestAt = m_replica.hooks().now();
}

void log_joiner::sendFirstEntry(const vm_id& to, const join_answer& answer)
{
    if (!m_replica.log().voters().voters.contains(answer.self))
        return;
    m_replica.whenDurable([this, to, token = answer.bootstrapToken] {
        if (!holdsFirstEntryOnly())
            return;
        m_replica.send(to,
            append_request { firstTerm, m_replica.self(), log_index(0), log_term(0), { m_replica.log().at(firstIndex) },
                log_index(0), token });
    });
}

bool log_joiner::isFirstEntry(const append_request& request) { return request.term == firstTerm; }

void log_joiner::onFirstEntry(const append_request& request)
{
    const bool isValidToken = m_issuedToken != 0 && request.round == m_issuedToken;
    if (!isValidToken || !m_replica.hasDisk() || !m_replica.blank() || m_replica.term() > firstTerm)
        return;
    const auto* voters = request.entries.size() == 1 ? std::get_if<voter_set>(&request.entries[0].content) : nullptr;
    if (voters == nullptr || !voters->voters.contains(m_replica.self()))
        return;
    m_issuedToken = 0;
    if (m_replica.term() < firstTerm)
        m_replica.adoptTerm(firstTerm);
    m_replica.append(request.entries);
}

} // namespace plantainlatch
