#pragma once

/** \file
 * Exclusive claims on idempotency keys, held in the replicated log.
 *
 * A VM claims a key before it dispatches the request, and afterwards settles the claim with the outcome. Settlements
 * are proposed again until the log has applied them. A claim whose proposal timed out may still be applied later; it is
 * then released, as its request was not dispatched.
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

/** The result of a claim. */
enum class claim_state {
    Claimed,
    InProgress,
    Completed,
    Unknown,
    Reused,
    /** The replicated table of keys is full; nobody holds the key. */
    TableFull,
    /** It is not known whether this claim, another one or none holds the key, as the proposal failed or too many
     * proposals are pending (see key_claims::maximumPending). */
    Unresolved,
};

/** A key that this VM holds, and the proposal by which it claimed the key. */
struct held_key {
    key_name name;
    proposal_id claim;
};

/** The answer to a claim. */
struct claim_answer {
    claim_state state = claim_state::Unresolved;
    /** Set only for Claimed. */
    held_key held;
    /** The answer to the earlier request; set only for Completed, if the answer was kept. */
    std::optional<upstream_answer> answer;
};

/** Claims and settles idempotency keys for one VM. */
class key_claims {
public:
    /** The maximum number of pending settlements and late claims together. When it is reached, a claim that cannot be
     * answered from this VM's copy of the state is Unresolved. */
    static constexpr std::size_t maximumPending = 1024;
    /** How long a settlement is retried, and how long after its timeout a claim is still released if it is applied. */
    static constexpr duration pendingTimeout = std::chrono::minutes(10);
    static constexpr duration proposalTimeout = std::chrono::seconds(2);
    static constexpr duration firstRetryDelay = std::chrono::milliseconds(200);
    static constexpr duration maximumRetryDelay = std::chrono::seconds(5);
    /** A settlement that was refused this many times counts as already applied. One refusal is not enough: it may mean
     * that the log discarded the proposal as too old. */
    static constexpr int refusalsUntilDone = 3;

    static std::unique_ptr<key_claims> create(const kernel_hooks& hooks, consensus_port& consensus,
        control_port& control, std::function<bool()> releasesLateClaims);
    ~key_claims();
    key_claims(const key_claims&) = delete;
    key_claims& operator=(const key_claims&) = delete;

    /** Claims a key. `done` is called once, possibly before claim() returns. If a claim is applied after it was
     * answered with Unresolved, it is released. */
    void claim(const claim_key& command, duration timeout, std::function<void(const claim_answer&)> done);

    /** Settles a held key with the outcome of its request; the answer is kept only if the outcome is Completed. */
    void settle(const held_key& held, outcome result, std::optional<upstream_answer> answer);

    /** The number of settlements that the log has not applied yet. */
    std::size_t pendingSettlements() const { return m_settlements.size(); }
    /** The number of unresolved claims that may still be applied. */
    std::size_t lateClaims() const { return m_lateClaims.size(); }
    /** Calls back when no settlement is pending, possibly before it returns. */
    void whenSettled(std::function<void()> settled);

private:
    struct open_claim;
    struct pending_settlement {
        settle_key command;
        time_point deadline;
        duration nextDelay = firstRetryDelay;
        int refusals = 0;
    };
    struct late_claim {
        held_key held;
        time_point deadline;
    };

    key_claims(const kernel_hooks& hooks, consensus_port& consensus, control_port& control,
        std::function<bool()> releasesLateClaims);

    std::optional<claim_answer> knownAnswer(const claim_key& command) const;
    void finishClaim(const open_claim& claim, const absl::StatusOr<command_result>& result);
    void watchLateClaim(const held_key& held);
    void checkLateClaims();
    bool isApplied(const late_claim& late) const;
    void scheduleLateClaimCheck();
    void proposeSettlement(std::uint64_t number);
    void onSettlement(std::uint64_t number, const absl::StatusOr<command_result>& result);
    static bool isDone(pending_settlement& pending, const absl::StatusOr<command_result>& result);
    void removeSettlement(std::uint64_t number);
    std::function<void()> ifAlive(std::function<void()> work) const;

    const kernel_hooks& m_hooks;
    consensus_port& m_consensus;
    control_port& m_control;
    std::function<bool()> m_releasesLateClaims;
    std::uint64_t m_lastSettlement = 0;
    std::map<std::uint64_t, pending_settlement> m_settlements;
    std::vector<late_claim> m_lateClaims;
    timer_id m_lateClaimTimer;
    std::function<void()> m_onSettled;
    /** Set to false by the destructor, for callbacks that outlive this object. */
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace plantainlatch
