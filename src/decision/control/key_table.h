#pragma once

/** \file
 * The replicated table of idempotency keys: pure functions that apply claims and settlements to it.
 */

#include <cstddef>
#include <map>

#include "model/command.h"
#include "model/control_snapshot.h"

namespace plantainlatch {

/** The most keys kept at once; further claims are refused, since forgetting a key early could run its work twice. */
inline constexpr std::size_t maximumKeys = 100'000;

/** The largest answer, headers and body together, that is kept for replay. */
inline constexpr byte_count maximumKeptAnswer { 1024 };

/** Bounds of the table; tests make them small. */
struct key_table_limits {
    std::size_t keys = maximumKeys;
    byte_count keptAnswer = maximumKeptAnswer;
};

/** Claims a key for a proposal, or finds who has it. Time is the proposal's own; Refused when the table is full. */
command_result applyClaim(std::map<key_name, key_record>& keys, const proposal& claimed, const claim_key& command,
    const key_table_limits& limits = {});

/** Records the end of a claim; NotRun frees the key. Refused when another claim, or a final result, stands there. */
command_result applySettle(std::map<key_name, key_record>& keys, const proposal& settled, const settle_key& command,
    const key_table_limits& limits = {});

/** The bytes of an answer that count against the bound. */
byte_count answerSize(const upstream_answer& answer);

} // namespace plantainlatch
