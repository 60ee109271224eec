#pragma once

/** \file
 * Answers to callers as bytes.
 */

#include <string>
#include <string_view>
#include <vector>

#include "model/http.h"

namespace plantainlatch {

/** An encoded answer. The server adds a Connection field where one is needed, and the empty line. */
struct http_answer {
    /** The status line and the fields, each with its line end. */
    std::string head;
    std::string body;
};

/** What is wrong with a request that no route can answer. */
enum class http_problem {
    None,
    Malformed,
    HeadersTooLarge,
    BodyTooLarge,
    UnsupportedMethod,
    UnknownPath,
};

/** The standard phrase of a status. */
std::string_view statusPhrase(int status);

/** An answer of this status; a Content-Length is added unless the status has no body. */
http_answer encodeAnswer(int status, const std::vector<header_field>& fields, std::string body);

/** An answer of JSON text. */
http_answer encodeJsonAnswer(int status, std::string json);

/** What a caller gets back, with the fields that name the outcome. `head` says that the request was a HEAD, whose
 * answer has no body. */
http_answer encodeCallerAnswer(const caller_answer& answer, bool head);

/** The answer to a request that has a problem; it says that the request was not run. */
http_answer encodeProblem(http_problem problem);

} // namespace plantainlatch
