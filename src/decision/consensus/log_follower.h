#pragma once

/** \file
 * The follower's side of log replication: accepts entries and snapshots from the leader.
 */

#include <functional>

#include "decision/consensus/replica.h"

namespace plantainlatch {

/** Handles the messages of a leader on voters and learners alike. */
class log_follower {
public:
    /** `onLeaderContact` is called for each message from the current leader. */
    log_follower(replica& self, std::function<void()> onLeaderContact);

    void onAppend(const vm_id& from, const append_request& request);
    void onSnapshot(const vm_id& from, const snapshot_request& request);

    /** Whether this VM has applied everything that the leader last reported as committed. */
    bool caughtUp() const { return m_replica.applied() >= m_leaderCommitted; }

private:
    bool acceptLeader(const vm_id& from, log_term term, const replica_id& leader, std::uint64_t round);
    bool appendNewEntries(const append_request& request);
    log_index matchHint(log_index previous) const;
    void answer(const vm_id& to, std::uint64_t round, bool matched, log_index index);

    replica& m_replica;
    std::function<void()> m_onLeaderContact;
    log_index m_leaderCommitted;
};

} // namespace plantainlatch
