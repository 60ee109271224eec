#pragma once

/** \file
 * Timeouts and limits of the replicated log, and switches that tests use to show that each mechanism is needed.
 */

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "core/clock.h"
#include "core/units.h"

namespace plantainlatch {

/** Mechanisms of the protocol. Tests turn off one at a time and check that its guarantee is then violated. */
struct consensus_mechanisms {
    /** A candidate runs a pre-vote round before it increases its term. */
    bool preVote = true;
    /** Voters refuse a candidate within electionTimeout of their last contact with a leader. */
    bool voteRefusalUnderLease = true;
    /** A leader's lease expires unless a majority keeps answering. */
    bool leaseNeedsQuorum = true;
    /** Votes and appended entries are acknowledged only after they were synced to disk. */
    bool durableBeforeAnswer = true;
    /** A replica with a blank disk gets a new identity. */
    bool newIdentityOnBlankDisk = true;
    /** A replica stops voting after a failed write. */
    bool stopAfterFailedWrite = true;
    /** A replica votes again once its whole state is on disk after a failed write. */
    bool rewriteFailedDisk = true;
    /** Followers that need compacted entries are sent a snapshot. */
    bool snapshotCatchUp = true;
    /** Unanswered proposals are resent to the current leader. */
    bool resendProposals = true;
};

struct consensus_options {
    /** The interval at which timeouts are checked. */
    duration tick = std::chrono::milliseconds(25);
    duration heartbeatInterval = std::chrono::milliseconds(100);
    /** The minimum election timeout; a voter refuses other candidates for this long after its last contact with a
     * leader. */
    duration electionTimeout = std::chrono::milliseconds(600);
    /** The maximum random time added to each election timeout. */
    duration electionJitter = std::chrono::milliseconds(400);
    /** A candidate without a majority starts another election after this plus the jitter. The time suffices for two
     * message round trips. */
    duration electionRetry = std::chrono::milliseconds(250);
    /** The difference between the election timeout and the leader's lease, which is shorter; it tolerates clocks that
     * run at different rates. */
    duration leaseMargin = std::chrono::milliseconds(100);
    /** The time after which an unacknowledged snapshot does not count against maximumSnapshotsInFlight. */
    duration snapshotTimeout = std::chrono::seconds(2);
    /** The maximum number of unacknowledged snapshots. After a restart of all VMs, every follower without a disk needs
     * one; sending all at once would delay the heartbeats, so that the leader would lose its lease. */
    std::size_t maximumSnapshotsInFlight = 16;
    duration proposalResendInterval = std::chrono::milliseconds(700);
    duration joinInterval = std::chrono::milliseconds(300);
    /** How often a replica whose disk failed tries to write its whole state to it. */
    duration diskRetryInterval = std::chrono::milliseconds(250);
    /** How long a stopping leader waits for another leader. */
    duration transferTimeout = std::chrono::seconds(3);

    /** The log is compacted after this many applied entries, or after this many bytes of them if the last snapshot was
     * not larger. Bytes of entries are approximate encoded sizes. */
    std::uint64_t snapshotEvery = 1000;
    std::uint64_t snapshotEveryBytes = 4 * 1024 * 1024;
    /** Limits on the entries before a snapshot that are kept in memory, so that slightly slow followers need no
     * snapshot, by number and by bytes. */
    std::uint64_t trailingEntries = 256;
    std::uint64_t trailingBytes = 2 * 1024 * 1024;
    /** Limits on the entries of one message, by number and by approximate size. */
    std::size_t maximumBatch = 256;
    std::size_t maximumBatchBytes = 512 * 1024;
    /** Limits on the unacknowledged entries in flight to one follower, by number and by bytes; a single entry may be
     * larger. */
    std::uint64_t maximumWindow = 2048;
    std::uint64_t maximumWindowBytes = 1024 * 1024;
    /** Limits on the proposals that a leader has accepted and not yet applied, by number and by bytes; more are
     * refused, but a single one may be larger. */
    std::uint64_t maximumUncommitted = 8192;
    std::uint64_t maximumUncommittedBytes = 16 * 1024 * 1024;
    /** Limits on the proposals of this VM that wait for a result, by number and by bytes; more fail with Unavailable,
     * but a single one may be larger. */
    std::size_t maximumPending = 1024;
    std::uint64_t maximumPendingBytes = 16 * 1024 * 1024;
    std::size_t maximumVoterCount = 7;
    /** A voter that has not answered for this long, nor since the leader was elected, may be replaced by an up-to-date
     * replica that is not a voter. A machine counts as replaced 4 s after its successor has started, also if it was the
     * leader, so an election and two changes of the voters must fit into the rest of that time. */
    duration replaceVoterAfter = std::chrono::milliseconds(1500);
    /** The maximum number of followers. The leader sends to each one directly; larger systems would need a relay in
     * each region. */
    std::size_t maximumFollowerCount = 4096;

    consensus_mechanisms mechanisms;
};

/** The options with their limits on proposals and entries reduced to a part of the memory that the process may use. */
consensus_options withinMemory(consensus_options options, std::optional<byte_count> memoryLimit);

} // namespace plantainlatch
