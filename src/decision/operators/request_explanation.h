#pragma once

/** \file
 * Explains the result of a request from log lines alone.
 */

#include <string>
#include <vector>

#include "model/log_line.h"

namespace plantainlatch {

/** The history and the cause of one request's result, as found in the logs. */
struct request_explanation {
    /** The lines of the request, and the lines that show the configuration and the upstreams' state on which its
     * decisions were based, ordered by time. */
    std::vector<log_line> lines;
    /** The cause of the result, in one sentence. */
    std::string cause;
};

/** Explains the request with the caller's request id `name`; the lines may come from several VMs in any order. */
request_explanation explainRequest(std::vector<log_line> lines, const std::string& name);

} // namespace plantainlatch
