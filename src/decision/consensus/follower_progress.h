#pragma once

/** \file
 * A leader's record of one follower.
 */

#include <cstdint>
#include <optional>

#include "core/clock.h"
#include "model/consensus_message.h"

namespace plantainlatch {

/** A sample of how long a follower takes to acknowledge entries, and what was sent to it meanwhile. Sizes are
 * approximate. */
struct follower_lag {
    /** The sample ends when the follower has acknowledged this entry. */
    log_index until;
    time_point since {};
    std::uint64_t sentBytes = 0;
    /** The part of sentBytes that had been sent before. */
    std::uint64_t resentBytes = 0;
};

/** A snapshot that was sent and is not known to have arrived or to be lost. */
struct pending_snapshot {
    log_index index;
    time_point sentAt {};
};

/** The replication progress of one follower. */
struct follower_progress {
    /** Empty until the follower has answered. */
    replica_id id;
    /** The follower keeps its log on disk. */
    bool durable = false;
    /** The last index up to which the follower's log matches; durable there if it has a disk. */
    log_index match;
    /** The next entry to send. */
    log_index next { 1 };
    /** The matching index is not known yet, so entries are sent one message at a time. */
    bool probing = true;
    /** The round in which entries or a snapshot were last sent, 0 for none, and the index before those entries. */
    std::uint64_t sentRound = 0;
    log_index sentPrevious;
    /** The latest heartbeat round that the follower answered, and when that round started. */
    std::uint64_t ackedRound = 0;
    time_point ackedRoundStart = time_point::min();
    time_point lastAnswer = time_point::min();
    std::optional<pending_snapshot> snapshot;
    log_index applied;
    /** One past the last entry that was ever sent. */
    log_index sentEnd { 1 };
    /** None if all that was sent is acknowledged. */
    std::optional<follower_lag> lag;

    /** What was sent last may still be on its way: messages arrive in order, and no answer to a later round came yet.
     */
    bool mayBeInTransit() const { return sentRound != 0 && ackedRound <= sentRound; }
};

} // namespace plantainlatch
