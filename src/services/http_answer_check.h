#pragma once

/** \file
 * Checks that an answer received by evhttp is complete and belongs to its request.
 */

#include <string>
#include <variant>

#include "model/http.h"
#include "ports/upstream_port.h"
#include "services/http_answer_validator.h"

struct evhttp_request;

namespace plantainlatch {

/** The properties of a request that decide whether an answer is valid. */
struct answered_request {
    /** A HEAD request: a Content-Length is passed on, although the answer has no body. */
    bool head = false;
    /** The header field that carries the name of the call. Each such field of an answer must have the value `name`. */
    const char* nameField;
    const std::string& name;
    /** Rejects an answer without the name. */
    bool requiresName = false;
    /** Accepts an answer whose body is delimited by an orderly close of the connection. */
    bool allowsCloseDelimitedBody = false;
};

/** Returns the answer with that body and without its hop-by-hop fields. OtherAnswer if the answer
 * echoes the name of another call or lacks a required name; Malformed if `validator`, which has read the same bytes,
 * has not read the same complete answer, or if the end of the connection ends the body and may not. */
std::variant<upstream_answer, call_failure> takeCompleteAnswer(
    evhttp_request* answer, std::string body, const http_answer_validator& validator, const answered_request& request);

} // namespace plantainlatch
