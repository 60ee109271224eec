#pragma once

/** \file
 * Encoded answers to look-ups of entries, made once for each failure domain.
 */

#include <map>
#include <string>

#include "ports/entry_list_port.h"
#include "services/http_answer.h"

namespace plantainlatch {

/** Keeps encoded answers until the entry list changes. */
class entry_answers {
public:
    /** `self` is this VM, which leaveOut() takes out of the answers. */
    entry_answers(entry_list_port& port, vm_id self);

    /** The answer for callers near that failure domain; an unknown one gets the answer for any place. */
    const http_answer& answerFor(const std::string& failureDomain);

    /** This VM stops: the answers name the others only. */
    void leaveOutSelf();

private:
    http_answer encode(const failure_domain_id& failureDomain) const;

    entry_list_port& m_port;
    vm_id m_self;
    bool m_leaveOutSelf = false;
    std::map<std::string, http_answer, std::less<>> m_encoded;
};

} // namespace plantainlatch
