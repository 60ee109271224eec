#pragma once

/** \file
 * Bootstrap of a new log, and discovery of the leader by VMs that have none.
 */

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "decision/consensus/log_leader.h"
#include "decision/consensus/replica.h"

namespace plantainlatch {

/** Bootstraps a new log when all replicas in the settings are blank, and asks other VMs for the log while this VM has
 * no leader.
 *
 * The replica with the lowest name is the bootstrapper and sends a join request to all other replicas in the settings.
 * Each blank one answers with its identity and a random bootstrap token; a blank replica accepts a first entry only
 * with the last token that it issued. Once the bootstrapper has a token from every other replica, it writes the first
 * entry, which is the set of voters, in term 1. No election uses this term. From then on, each replica that has the
 * entry sends it to blank voters, with new tokens that it requests from them. If the bootstrapper loses its disk
 * meanwhile, it requests new tokens, which invalidate the earlier ones, so two different first entries cannot both be
 * accepted. */
class log_joiner {
public:
    log_joiner(replica& self, log_leader& leader);

    void start();
    /** Replaces the seeds, which are initially the VMs in the settings. */
    void setSeeds(std::vector<vm_id> seeds) { m_seeds = std::move(seeds); }
    void onTick();
    void onJoinRequest(const vm_id& from, const join_request& request);
    void onJoinAnswer(const vm_id& from, const join_answer& answer);
    /** Whether the request has the first entry of a new log, which is the only one in term 1. */
    static bool isFirstEntry(const append_request& request);
    void onFirstEntry(const append_request& request);

private:
    struct bootstrap_token {
        replica_id issuer;
        std::uint64_t value = 0;
    };

    /** Whether this VM is the blank replica that may bootstrap a new log. */
    bool isBootstrapper() const;
    bool holdsFirstEntryOnly() const;
    /** The seeds and the last known voters. */
    std::vector<vm_id> joinTargets() const;
    void sendJoinRequest(const vm_id& vm);
    void sendJoinRequests(const std::vector<vm_id>& vms);
    void bootstrapIfAllBlank();
    void sendFirstEntry(const vm_id& to, const join_answer& answer);

    replica& m_replica;
    log_leader& m_leader;
    /** The other replicas in the settings. */
    std::vector<vm_id> m_otherReplicas;
    std::vector<vm_id> m_seeds;
    time_point m_nextRequestAt {};
    std::size_t m_nextTarget = 0;
    std::map<vm_id, bootstrap_token> m_tokens;
    /** The last bootstrap token that this replica issued while it was blank; 0 for none. */
    std::uint64_t m_issuedToken = 0;
};

} // namespace plantainlatch
