#pragma once

/** \file
 * Reads what the soak's callers and upstreams need from the text of HTTP messages.
 */

#include <string>

namespace plantainlatch {

/** The status of an answer, or 0 if `answer` begins with no status line. */
int statusOf(const std::string& answer);

/** The value of the first field `name`, which is written as its sender writes it; empty if there is none. */
std::string fieldOf(const std::string& message, const std::string& name);

/** The size of the answer that begins at `begin`, or 0 if it isn't complete. Its body has a Content-Length. */
std::size_t completeAnswerSize(const std::string& bytes, std::size_t begin);

} // namespace plantainlatch
