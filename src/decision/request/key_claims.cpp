#include "decision/request/key_claims.h"

#include <algorithm>
#include <utility>

#include "core/internal_assert.h"

namespace plantainlatch {

namespace {

    constexpr duration lateClaimCheckInterval = std::chrono::milliseconds(250);

    claim_state stateOf(claim_result finding)
    {
        switch (finding) {
        case claim_result::Claimed:
            return claim_state::Claimed;
        case claim_result::InProgress:
            return claim_state::InProgress;
        case claim_result::Completed:
            return claim_state::Completed;
        case claim_result::Unknown:
            return claim_state::Unknown;
        case claim_result::Reused:
            return claim_state::Reused;
        case claim_result::TableFull:
            return claim_state::TableFull;
        }
        internal_assert(false) << "invalid claim result " << static_cast<int>(finding);
        return claim_state::Unresolved;
    }

    claim_answer answerOf(const held_key& held, const command_result& result)
    {
        claim_answer answer;
        answer.state = stateOf(*result.claim);
        answer.answer = result.answer;
        if (answer.state == claim_state::Claimed)
            answer.held = held;
        return answer;
    }

} // namespace

/** A claim whose proposal is in progress. The proposal may end before propose() returns its id; its result is then kept
 * in `earlyResult` until the id is known. */
struct key_claims::open_claim {
    key_name name;
    std::function<void(const claim_answer&)> done;
    std::optional<proposal_id> id;
    std::optional<absl::StatusOr<command_result>> earlyResult;
};

std::unique_ptr<key_claims> key_claims::create(const kernel_hooks& hooks, consensus_port& consensus,
    control_port& control, std::function<bool()> releasesLateClaims)
{
    return std::unique_ptr<key_claims>(new key_claims(hooks, consensus, control, std::move(releasesLateClaims)));
}

key_claims::key_claims(const kernel_hooks& hooks, consensus_port& consensus, control_port& control,
    std::function<bool()> releasesLateClaims)
    : m_hooks(hooks)
    , m_consensus(consensus)
    , m_control(control)
    , m_releasesLateClaims(std::move(releasesLateClaims))
{
}

key_claims::~key_claims()
{
    *m_alive = false;
    m_hooks.cancel(m_lateClaimTimer);
}

void key_claims::claim(const claim_key& command, duration timeout, std::function<void(const claim_answer&)> done)
{
    if (const std::optional<claim_answer> known = knownAnswer(command)) {
        done(*known);
        return;
    }
    if (m_settlements.size() + m_lateClaims.size() >= maximumPending) {
        done({});
        return;
    }
    const auto open = std::make_shared<open_claim>();
    open->name = { command.service, command.key };
    open->done = std::move(done);
    const auto ended = [this, alive = m_alive, open](absl::StatusOr<command_result> result) {
        if (!*alive)
            return;
        if (open->id)
            finishClaim(*open, result);
        else
            open->earlyResult = std::move(result);
    };
    open->id = m_consensus.propose(command, timeout, ended);
    if (open->earlyResult)
        finishClaim(*open, *open->earlyResult);
}

std::optional<claim_answer> key_claims::knownAnswer(const claim_key& command) const
{
    const auto& keys = m_control.state().keys;
    const auto position = keys.find({ command.service, command.key });
    if (position == keys.end() || position->second.result != outcome::Completed)
        return std::nullopt;
    if (position->second.expiresAt <= m_hooks.wallNow())
        return std::nullopt;
    claim_answer answer;
    if (position->second.fingerprint != command.fingerprint) {
        answer.state = claim_state::Reused;
        return answer;
    }
    answer.state = claim_state::Completed;
    answer.answer = position->second.answer;
    return answer;
}

void key_claims::finishClaim(const open_claim& claim, const absl::StatusOr<command_result>& result)
{
    const held_key held { claim.name, *claim.id };
    if (result.ok() && result->claim) {
        claim.done(answerOf(held, *result));
        return;
    }
    // A proposal that was refused without a finding may have been applied earlier under the same id, and one that timed
    // out may be applied later. Unavailable means that it will never be applied.
    if (!absl::IsUnavailable(result.status()))
        watchLateClaim(held);
    claim.done({});
}

void key_claims::watchLateClaim(const held_key& held)
{
    if (!m_releasesLateClaims())
        return;
    m_lateClaims.push_back({ held, m_hooks.now() + pendingTimeout });
    if (m_lateClaims.size() == 1)
        scheduleLateClaimCheck();
}

void key_claims::scheduleLateClaimCheck()
{
    m_lateClaimTimer = m_hooks.schedule(lateClaimCheckInterval, [this] { checkLateClaims(); });
}

void key_claims::checkLateClaims()
{
    std::vector<held_key> found;
    std::erase_if(m_lateClaims, [&](const late_claim& late) {
        if (!isApplied(late))
            return late.deadline <= m_hooks.now();
        found.push_back(late.held);
        return true;
    });
    for (const held_key& held : found)
        settle(held, outcome::NotRun, std::nullopt);
    if (!m_lateClaims.empty())
        scheduleLateClaimCheck();
}

bool key_claims::isApplied(const late_claim& late) const
{
    const auto& keys = m_control.state().keys;
    const auto position = keys.find(late.held.name);
    return position != keys.end() && position->second.claim == late.held.claim;
}

void key_claims::settle(const held_key& held, outcome result, std::optional<upstream_answer> answer)
{
    pending_settlement pending;
    pending.command = { held.name.service, held.name.key, held.claim, result, std::move(answer) };
    pending.deadline = m_hooks.now() + pendingTimeout;
    const std::uint64_t number = ++m_lastSettlement;
    m_settlements.emplace(number, std::move(pending));
    proposeSettlement(number);
}

void key_claims::proposeSettlement(std::uint64_t number)
{
    const auto position = m_settlements.find(number);
    if (position == m_settlements.end())
        return;
    const settle_key command = position->second.command;
    m_consensus.propose(
        command, proposalTimeout, [this, alive = m_alive, number](const absl::StatusOr<command_result>& result) {
            if (*alive)
                onSettlement(number, result);
        });
}

void key_claims::onSettlement(std::uint64_t number, const absl::StatusOr<command_result>& result)
{
    const auto position = m_settlements.find(number);
    if (position == m_settlements.end())
        return;
    pending_settlement& pending = position->second;
    if (isDone(pending, result) || pending.deadline <= m_hooks.now()) {
        removeSettlement(number);
        return;
    }
    const duration delay = pending.nextDelay;
    pending.nextDelay = std::min(delay * 2, maximumRetryDelay);
    m_hooks.schedule(delay, ifAlive([this, number] { proposeSettlement(number); }));
}

bool key_claims::isDone(pending_settlement& pending, const absl::StatusOr<command_result>& result)
{
    if (!result.ok())
        return false;
    return result->verdict != command_verdict::Refused || ++pending.refusals >= refusalsUntilDone;
}

void key_claims::removeSettlement(std::uint64_t number)
{
    m_settlements.erase(number);
    if (m_settlements.empty() && m_onSettled)
        std::exchange(m_onSettled, nullptr)();
}

void key_claims::whenSettled(std::function<void()> settled)
{
    if (m_settlements.empty()) {
        settled();
        return;
    }
    m_onSettled = std::move(settled);
}

std::function<void()> key_claims::ifAlive(std::function<void()> work) const
{
    return [alive = m_alive, work = std::move(work)] {
        if (*alive)
            work();
    };
}

} // namespace plantainlatch
