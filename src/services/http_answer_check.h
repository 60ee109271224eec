#pragma once

/** \file
 * Checks that an answer received by evhttp is whole and belongs to its request.
 */

#include <optional>
#include <string>

#include "model/http.h"

struct evhttp_request;

namespace plantainlatch {

/** What is known of the request that is answered. */
struct answered_request {
    /** A HEAD request: the answer has no body, whatever its fields say. */
    bool head = false;
    /** The field that names the call; an answer that has it must have it with `name`. */
    const char* nameField;
    const std::string& name;
    /** An answer without a length may end with its connection, in order. */
    bool mayEndWithConnection = false;
};

/** The answer without its hop-by-hop fields, its body moved out; none when it is not whole, is framed in two ways, or
 * echoes the name of another call. */
std::optional<upstream_answer> wholeAnswer(evhttp_request* answer, const answered_request& request);

} // namespace plantainlatch
