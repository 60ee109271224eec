#pragma once

/** \file
 * The follower's part of the replicated log: taking a leader's entries and snapshots.
 */

#include <functional>

#include "decision/consensus/replica.h"

namespace plantainlatch {

/** What this VM does while another leads; a VM without a vote does the same. */
class log_follower {
public:
    /** `heard` is called for each message of the current leader. */
    log_follower(replica& self, std::function<void()> heard);

    void onAppend(const vm_id& from, const append_request& request);
    void onSnapshot(const vm_id& from, const snapshot_request& request);

    /** All that the leader said was committed when it was last heard is applied here. */
    bool caughtUp() const { return m_replica.applied() >= m_leaderCommitted; }

private:
    bool accepts(const vm_id& from, log_term term, const replica_id& leader, std::uint64_t round);
    bool takeEntries(const append_request& request);
    log_index whereToTryNext(log_index previous) const;
    void answer(const vm_id& to, std::uint64_t round, bool matched, log_index index);

    replica& m_replica;
    std::function<void()> m_heard;
    log_index m_leaderCommitted;
};

} // namespace plantainlatch
