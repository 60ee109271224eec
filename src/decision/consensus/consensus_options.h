#pragma once

/** \file
 * The times and bounds of the replicated log, and the switches by which tests show that its mechanisms are needed.
 */

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "core/clock.h"

namespace plantainlatch {

/** Mechanisms that tests turn off one at a time to see the promise that rests on them fail. */
struct consensus_mechanisms {
    /** A candidate first asks whether it would be elected. */
    bool preVote = true;
    /** Voters refuse votes while they heard a leader within the minimum election timeout. */
    bool voteRefusalUnderLease = true;
    /** A leader's lease ends with the answers of its quorum. */
    bool leaseNeedsQuorum = true;
    /** Votes and matches are answered only once they are on disk. */
    bool durableBeforeAnswer = true;
    /** A blank disk gets a new identity. */
    bool newIdentityOnBlankDisk = true;
    /** A failed write ends the replica's vote. */
    bool stopAfterFailedWrite = true;
    /** Far followers are sent snapshots. */
    bool snapshotCatchUp = true;
    /** Pending proposals are sent again to a new leader. */
    bool resendProposals = true;
};

/** The times and bounds of the replicated log. */
struct consensus_options {
    /** How often timeouts are looked at. */
    duration tick = std::chrono::milliseconds(25);
    duration heartbeatInterval = std::chrono::milliseconds(100);
    /** No voter helps a rival within this time after it heard the leader. */
    duration electionTimeout = std::chrono::milliseconds(600);
    /** Each wait for an election is longer by a random part of this. */
    duration electionSpread = std::chrono::milliseconds(400);
    /** A candidate without a majority asks again after this and the random part: two rounds of messages. */
    duration electionRetry = std::chrono::milliseconds(250);
    /** By how much a leader's lease is shorter than the election timeout, for clocks that run unevenly. */
    duration leaseMargin = std::chrono::milliseconds(100);
    /** A follower that matched nothing new for so long is sent its entries again. */
    duration retransmitAfter = std::chrono::milliseconds(500);
    /** A snapshot is sent again after this silence. */
    duration snapshotRetry = std::chrono::seconds(2);
    duration proposalResend = std::chrono::milliseconds(700);
    duration joinInterval = std::chrono::milliseconds(300);
    /** How long a stop waits for another leader. */
    duration transferTimeout = std::chrono::seconds(3);

    /** Applied entries after which the log is compacted. */
    std::uint64_t snapshotEvery = 1000;
    /** Entries kept in memory behind a snapshot, for followers that are a little late. */
    std::uint64_t trailingEntries = 256;
    /** The most entries of one message; their approximate bytes are bounded as well. */
    std::size_t largestBatch = 256;
    std::size_t largestBatchBytes = 512 * 1024;
    /** Entries sent to a follower beyond what it matched. */
    std::uint64_t largestWindow = 2048;
    /** Entries that a leader takes beyond what is committed; more are refused. */
    std::uint64_t largestUncommitted = 8192;
    /** Proposals of this VM that wait for their result; more are refused as Unavailable. */
    std::size_t largestPending = 1024;
    std::size_t largestVoterCount = 7;
    /** A voter that was silent for so long gives its place to an up-to-date replica that waits for one. */
    duration replaceVoterAfter = std::chrono::seconds(3);
    /** VMs that a leader sends to; beyond it a tree by region must take over. */
    std::size_t largestFollowerCount = 64;

    consensus_mechanisms mechanisms;
};

} // namespace plantainlatch
