#pragma once

/** \file
 * Encodes HTTP/1.1 answers to callers.
 */

#include <string>
#include <string_view>
#include <vector>

#include "model/http.h"

namespace plantainlatch {

/** An encoded answer. The connection adds a Connection field if one is needed, and the empty line after the fields. */
struct http_answer {
    /** The status line and the header fields, each ending with CRLF. */
    std::string head;
    shared_body body;
};

/** Why the server itself refuses a request. */
enum class http_problem {
    None,
    Malformed,
    HeadersTooLarge,
    BodyTooLarge,
    UnsupportedMethod,
    UnknownPath,
    /** There is no memory for the request now. */
    NoMemory,
    /** No byte of the body has arrived for too long. */
    BodyTimeout,
};

/** The standard reason phrase of a status code; "Status" for a code that is not listed. */
std::string_view statusPhrase(int status);

/** Adds a Content-Length unless answers with this status have no body. */
http_answer encodeAnswer(int status, const std::vector<header_field>& fields, std::string body);

http_answer encodeJsonAnswer(int status, std::string json);

/** Encodes the answer to a caller's request, with the fields for outcome and reason. `head` is set if the request was a
 * HEAD, whose answer has no body. */
http_answer encodeCallerAnswer(caller_answer answer, bool head);

/** The answer to a refused request, with the outcome "not-run". `problem` must not be None. */
http_answer encodeProblem(http_problem problem);

} // namespace plantainlatch
