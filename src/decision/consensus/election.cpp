#include "decision/consensus/election.h"

#include <utility>

#include "decision/consensus/quorum.h"
#include "decision/consensus/vote_rules.h"

namespace plantainlatch {

election::election(replica& self, std::function<void()> onElected, std::function<time_point()> leaseStart)
    : m_replica(self)
    , m_onElected(std::move(onElected))
    , m_leaseStart(std::move(leaseStart))
{
}

void election::start()
{
    resetElectionTimeout();
    // A single voter needs no timeout, as no other replica can hold a lease.
    if (m_replica.log().voters().voters.size() == 1)
        m_electionDeadline = m_replica.hooks().now();
}

void election::resetElectionTimeout() { setElectionDeadline(m_replica.options().electionTimeout); }

void election::setElectionDeadline(duration minimum)
{
    const auto maximumJitter = static_cast<std::uint64_t>(m_replica.options().electionJitter.count());
    const duration jitter(m_replica.hooks().random() % (maximumJitter + 1));
    m_electionDeadline = m_replica.hooks().now() + minimum + jitter;
}

void election::onTick()
{
    if (m_replica.role() == replica_role::Leader || !canCampaign())
        return;
    if (m_replica.hooks().now() < m_electionDeadline)
        return;
    setElectionDeadline(m_replica.options().electionRetry);
    m_replica.clearLeader();
    if (m_replica.mechanisms().preVote)
        startPreVote();
    else
        campaign(false);
}

void election::startPreVote()
{
    m_replica.setRole(replica_role::PreCandidate);
    m_votes = { m_replica.self() };
    requestVotes(m_replica.term().next(), true, false);
    countVotes();
}

void election::campaign(bool transfer)
{
    m_replica.adoptTerm(m_replica.term().next());
    m_replica.setRole(replica_role::Candidate);
    m_replica.castVote(m_replica.self());
    m_votes.clear();
    setElectionDeadline(m_replica.options().electionRetry);
    m_replica.whenDurable([this, transfer, term = m_replica.term()] {
        if (m_replica.term() != term || m_replica.role() != replica_role::Candidate || !canCampaign())
            return;
        m_votes.insert(m_replica.self());
        requestVotes(term, false, transfer);
        countVotes();
    });
}

void election::requestVotes(log_term term, bool preVote, bool transfer)
{
    const log_store& log = m_replica.log();
    const vote_request request { term, m_replica.self(), log.lastIndex(), log.lastTerm(), preVote, transfer };
    for (const replica_id& voter : log.voters().voters) {
        if (voter.vm != m_replica.vm())
            m_replica.send(voter.vm, request);
    }
}

void election::countVotes()
{
    if (!hasMajority(m_replica.log().voters(), m_votes))
        return;
    if (m_replica.role() == replica_role::PreCandidate)
        campaign(false);
    else if (m_replica.role() == replica_role::Candidate)
        m_onElected();
}

bool election::underLease() const
{
    if (!m_replica.mechanisms().voteRefusalUnderLease)
        return false;
    const bool leads = m_replica.role() == replica_role::Leader;
    const time_point lastContact = leads ? m_leaseStart() : m_replica.lastLeaderContact();
    return m_replica.hooks().now() < lastContact + m_replica.options().electionTimeout;
}

voter_state election::voterState() const
{
    const log_store& log = m_replica.log();
    return { m_replica.term(), m_replica.votedFor(), log.lastIndex(), log.lastTerm(), m_replica.mayVote(),
        underLease() };
}

void election::onVoteRequest(const vm_id& from, const vote_request& request)
{
    const vote_decision decision = decideVote(voterState(), request);
    if (decision == vote_decision::Refuse || request.preVote) {
        answer(from, request, decision == vote_decision::Grant);
        return;
    }
    if (request.term > m_replica.term())
        m_replica.adoptTerm(request.term);
    if (decision == vote_decision::RefuseAndAdoptTerm) {
        answer(from, request, false);
        return;
    }
    m_replica.castVote(request.candidate);
    resetElectionTimeout();
    m_replica.whenDurable([this, from, request] {
        if (m_replica.mayVote() && m_replica.term() == request.term)
            answer(from, request, true);
    });
}

void election::answer(const vm_id& to, const vote_request& request, bool granted)
{
    const log_term term = granted ? request.term : m_replica.term();
    m_replica.send(to, vote_answer { term, m_replica.self(), request.preVote, granted });
}

void election::onVoteAnswer(const vote_answer& answer)
{
    if (!answer.granted) {
        if (answer.term > m_replica.term())
            m_replica.adoptTerm(answer.term);
        return;
    }
    const bool isExpected = answer.preVote
        ? m_replica.role() == replica_role::PreCandidate && answer.term == m_replica.term().next()
        : m_replica.role() == replica_role::Candidate && answer.term == m_replica.term();
    if (!isExpected)
        return;
    m_votes.insert(answer.voter);
    countVotes();
}

void election::onTransferRequest(const transfer_request& request)
{
    const bool fromLeader = request.term == m_replica.term() && request.leader == m_replica.leader();
    if (fromLeader && m_replica.role() == replica_role::Follower && canCampaign())
        campaign(true);
}

} // namespace plantainlatch
