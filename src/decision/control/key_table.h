#pragma once

/** \file
 * The replicated table of idempotency keys. A request claims its key before it is dispatched and settles the claim with
 * its outcome, which later requests with the same key then get.
 */

#include <cstddef>
#include <map>

#include "model/command.h"
#include "model/control_snapshot.h"

namespace plantainlatch {

/** The most keys kept. Further claims are refused, since evicting a key before it expires could run its work twice. */
inline constexpr std::size_t maximumKeys = 100'000;

/** The largest answer that is kept for replay, as measured by answerSize(). */
inline constexpr byte_count maximumKeptAnswer { 1024 };

/** Bounds of the table, which tests lower. */
struct key_table_limits {
    std::size_t keys = maximumKeys;
    byte_count keptAnswer = maximumKeptAnswer;
};

/** Claims the key for the proposal, or returns the state of the existing claim. Refused if the table is full. The
 * current time is the time of the proposal. */
command_result applyClaim(std::map<key_name, key_record>& keys, const proposal& claimed, const claim_key& command,
    const key_table_limits& limits = {});

/** Settles a claim with NotRun, Unknown or Completed. NotRun frees the key. A claim settled as Unknown can later be
 * settled as Completed. Refused if another claim holds the key or the claim was settled with another outcome. */
command_result applySettle(std::map<key_name, key_record>& keys, const proposal& settled, const settle_key& command,
    const key_table_limits& limits = {});

/** The size of an answer's headers and body together. */
byte_count answerSize(const upstream_answer& answer);

} // namespace plantainlatch
