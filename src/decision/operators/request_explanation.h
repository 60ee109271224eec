#pragma once

/** \file
 * Explains from log lines alone what became of a request, and why.
 */

#include <string>
#include <vector>

#include "model/log_line.h"

namespace plantainlatch {

/** What the logs tell of one request. */
struct request_explanation {
    /** The lines of the request, and the changes of belief that its decisions rested on, in order. */
    std::vector<log_line> lines;
    /** The cause in a sentence. */
    std::string cause;
};

/** Explains the request that callers name `name`; the lines may come from many VMs in any order. */
request_explanation explainRequest(std::vector<log_line> lines, const std::string& name);

} // namespace plantainlatch
