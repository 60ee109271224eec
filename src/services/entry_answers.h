#pragma once

/** \file
 * Caches encoded answers to look-ups of entries, one for each failure domain.
 */

#include <map>
#include <string>

#include "ports/entry_list_port.h"
#include "services/http_answer.h"

namespace plantainlatch {

/** A cache of encoded answers that is cleared whenever the entry list changes. */
class entry_answers {
public:
    /** `self` is this VM, which excludeSelf() removes from the answers. */
    entry_answers(entry_list_port& port, vm_id self);

    /** The answer for callers near that failure domain; for an unknown one, the answer without a preferred location. */
    const http_answer& answerFor(const std::string& failureDomain);

    /** Excludes this VM, which is stopping, from all further answers. */
    void excludeSelf();

private:
    http_answer encode(const failure_domain_id& failureDomain) const;

    entry_list_port& m_port;
    vm_id m_self;
    bool m_excludeSelf = false;
    std::map<std::string, http_answer, std::less<>> m_encoded;
};

} // namespace plantainlatch
