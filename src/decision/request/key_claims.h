#pragma once

/** \file
 * Claims and settlements of idempotency keys at one VM: what it proposed to the log and still owes it.
 */

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "kernel/hooks.h"
#include "model/command.h"
#include "model/control_snapshot.h"
#include "ports/consensus_port.h"
#include "ports/control_port.h"

namespace plantainlatch {

/** What a claim came to. */
enum class claim_state {
    Claimed,
    InProgress,
    Completed,
    Unknown,
    Reused,
    /** The log's table is full; nobody holds the key. */
    TableFull,
    /** Whether the key is held, by this claim or another, could not be learned in time. */
    Unresolved,
};

/** A key that this VM holds, by the proposal that claimed it. */
struct held_key {
    key_name name;
    proposal_id claim;
};

/** The answer to a claim. */
struct claim_answer {
    claim_state state = claim_state::Unresolved;
    /** Only when Claimed. */
    held_key held;
    /** Only when Completed, and only if it was kept. */
    std::optional<upstream_answer> answer;
};

/** Claims keys before dispatch and settles them afterwards, until the log has taken each settlement. */
class key_claims {
public:
    /** Settlements and late claims that may be owed at once; beyond them new claims are Unresolved. */
    static constexpr std::size_t maximumOwed = 1024;
    /** How long a settlement is proposed again, and a late claim is watched for. */
    static constexpr duration owedTime = std::chrono::minutes(10);
    static constexpr duration proposalTimeout = std::chrono::seconds(2);
    static constexpr duration firstRetryDelay = std::chrono::milliseconds(200);
    static constexpr duration maximumRetryDelay = std::chrono::seconds(5);
    /** A settlement that was refused so often is one that had been applied; once may mean that its proposal was too
     * old.
     */
    static constexpr int refusalsToEnd = 3;

    static std::unique_ptr<key_claims> create(const kernel_hooks& hooks, consensus_port& consensus,
        control_port& control, std::function<bool()> releasesLateClaims);
    ~key_claims();
    key_claims(const key_claims&) = delete;
    key_claims& operator=(const key_claims&) = delete;

    /** Calls back once, perhaps at once. A claim whose proposal may still be applied later is watched for and released.
     */
    void claim(const claim_key& command, duration timeout, std::function<void(const claim_answer&)> done);

    /** Settles a held key; only a key whose work ran keeps an answer. */
    void settle(const held_key& held, outcome result, std::optional<upstream_answer> answer);

    /** Settlements that the log has not taken yet. */
    std::size_t owedSettlements() const { return m_settlements.size(); }
    /** Claims that may still show up. */
    std::size_t lateClaims() const { return m_lateClaims.size(); }
    /** Calls back when no settlement is owed any more, perhaps at once. */
    void whenSettled(std::function<void()> settled);

private:
    struct open_claim;
    struct owed_settlement {
        settle_key command;
        time_point giveUp;
        duration nextDelay = firstRetryDelay;
        int refusals = 0;
    };
    struct late_claim {
        held_key held;
        time_point giveUp;
    };

    key_claims(const kernel_hooks& hooks, consensus_port& consensus, control_port& control,
        std::function<bool()> releasesLateClaims);

    std::optional<claim_answer> knownAnswer(const claim_key& command) const;
    void finishClaim(const open_claim& claim, const absl::StatusOr<command_result>& result);
    void watchLateClaim(const held_key& held);
    void lookForLateClaims();
    bool appeared(const late_claim& late) const;
    void scheduleLook();
    void proposeSettlement(std::uint64_t number);
    void onSettlement(std::uint64_t number, const absl::StatusOr<command_result>& result);
    static bool isTaken(owed_settlement& owed, const absl::StatusOr<command_result>& result);
    void endSettlement(std::uint64_t number);
    std::function<void()> guarded(std::function<void()> work) const;

    const kernel_hooks& m_hooks;
    consensus_port& m_consensus;
    control_port& m_control;
    std::function<bool()> m_releasesLateClaims;
    std::uint64_t m_lastSettlement = 0;
    std::map<std::uint64_t, owed_settlement> m_settlements;
    std::vector<late_claim> m_lateClaims;
    timer_id m_lookTimer;
    std::function<void()> m_settled;
    /** Callbacks that outlive this object find it gone. */
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace plantainlatch
