#include "decision/consensus/election.h"

#include <utility>

#include "decision/consensus/quorum.h"
#include "decision/consensus/vote_rules.h"

namespace plantainlatch {

election::election(replica& self, std::function<void()> elected, std::function<time_point()> leaseBasis)
    : m_replica(self)
    , m_elected(std::move(elected))
    , m_leaseBasis(std::move(leaseBasis))
{
}

void election::start()
{
    restartWait();
    // A lone voter has no rival whose lease it could cut short.
    if (m_replica.log().voters().voters.size() == 1)
        m_waitEnd = m_replica.hooks().now();
}

void election::restartWait() { waitFor(m_replica.options().electionTimeout); }

void election::waitFor(duration least)
{
    const auto spread = static_cast<std::uint64_t>(m_replica.options().electionSpread.count());
    const duration extra(m_replica.hooks().random() % (spread + 1));
    m_waitEnd = m_replica.hooks().now() + least + extra;
}

void election::onTick()
{
    if (m_replica.role() == replica_role::Leader || !canCampaign())
        return;
    if (m_replica.hooks().now() < m_waitEnd)
        return;
    waitFor(m_replica.options().electionRetry);
    m_replica.forgetLeader();
    if (m_replica.mechanisms().preVote)
        askBeforehand();
    else
        campaign(false);
}

void election::askBeforehand()
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
    m_replica.vote(m_replica.self());
    m_votes.clear();
    waitFor(m_replica.options().electionRetry);
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
        m_elected();
}

bool election::underLease() const
{
    if (!m_replica.mechanisms().voteRefusalUnderLease)
        return false;
    const bool leads = m_replica.role() == replica_role::Leader;
    const time_point heard = leads ? m_leaseBasis() : m_replica.leaderHeard();
    return m_replica.hooks().now() < heard + m_replica.options().electionTimeout;
}

voter_view election::view() const
{
    const log_store& log = m_replica.log();
    return { m_replica.term(), m_replica.votedFor(), log.lastIndex(), log.lastTerm(), m_replica.mayVote(),
        underLease() };
}

void election::onVoteRequest(const vm_id& from, const vote_request& request)
{
    const vote_decision decision = decideVote(view(), request);
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
    m_replica.vote(request.candidate);
    restartWait();
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
    const bool wanted = answer.preVote
        ? m_replica.role() == replica_role::PreCandidate && answer.term == m_replica.term().next()
        : m_replica.role() == replica_role::Candidate && answer.term == m_replica.term();
    if (!wanted)
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
