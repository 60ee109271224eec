#pragma once

/** \file
 * Decides which of several silent voters is replaced first.
 */

#include <map>
#include <vector>

#include "model/consensus_message.h"

namespace plantainlatch {

/** A voter that has not answered for consensus_options::replaceVoterAfter. */
struct silent_voter {
    replica_id id;
    /** Its VM answers under another identity: its disk failed, but still holds the voter's log and is rewritten once it
     * takes writes. */
    bool vmAnswers = false;
    /** Another voter is in its failure domain, as the successor of a lost machine is. */
    bool sharesFailureDomain = false;
};

/** Whether another voter is in the failure domain of this one; false if the VM of the voter is not known. */
bool sharesFailureDomain(const replica_id& voter, const voter_set& voters, const std::map<vm_id, vm_start_record>& vms);

/** The first to be replaced first: voters whose machine was probably lost for good, and last those whose VM answers. */
std::vector<replica_id> orderOfReplacement(std::vector<silent_voter> voters);

} // namespace plantainlatch
