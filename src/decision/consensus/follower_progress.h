#pragma once

/** \file
 * What a leader knows of one follower.
 */

#include <cstdint>
#include <optional>

#include "core/clock.h"
#include "model/consensus_message.h"

namespace plantainlatch {

/** One follower's progress through the leader's log. */
struct follower_progress {
    /** Empty until it answered. */
    replica_id id;
    /** It keeps on disk what it matched. */
    bool durable = false;
    /** It has all entries up to here, on disk if it has one. */
    log_index match;
    /** The next entry to send. */
    log_index next { 1 };
    /** Where the logs meet is not known: one message at a time. */
    bool probing = true;
    /** The latest round that it answered, and when that round began. */
    std::uint64_t round = 0;
    time_point heardAt = time_point::min();
    time_point lastAnswer = time_point::min();
    /** When `match` last rose, or entries were sent again. */
    time_point lastProgress {};
    /** When a snapshot was last sent that was not answered yet. */
    std::optional<time_point> snapshotSentAt;
    log_index applied;
};

} // namespace plantainlatch
