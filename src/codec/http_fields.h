#pragma once

/** \file
 * Header fields of HTTP: names, comparison, times in seconds, and the fields that a hop keeps to itself.
 */

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "model/http.h"

namespace plantainlatch::http_fields {

inline constexpr const char* idempotencyKey = "Idempotency-Key";
/** How long the sender waits for the answer, in decimal seconds. */
inline constexpr const char* requestTimeout = "X-Request-Timeout";
inline constexpr const char* outcome = "X-Plantainlatch-Outcome";
inline constexpr const char* reason = "X-Plantainlatch-Reason";
/** With the value 1 on a 503: the upstream did not run the request. */
inline constexpr const char* notRun = "X-Plantainlatch-Not-Run";
/** Names one call to an upstream, which may echo it in its answer. */
inline constexpr const char* call = "X-Plantainlatch-Call";
inline constexpr const char* retryAfter = "Retry-After";
inline constexpr const char* contentLength = "Content-Length";
inline constexpr const char* transferEncoding = "Transfer-Encoding";

/** Whether two field names are the same; case does not matter. */
bool sameName(std::string_view left, std::string_view right);

/** The first field of that name; none without one. */
const header_field* find(const std::vector<header_field>& fields, std::string_view name);

/** Whether a field concerns one hop only (RFC 9110, 7.6.1), or is written anew by each. */
bool isHopByHop(std::string_view name);

/** Whether `name` is listed in the comma-separated `list`. */
bool listContains(std::string_view list, std::string_view name);

/** Drops the hop-by-hop fields and those that a Connection field names. */
void keepEndToEnd(std::vector<header_field>& fields);

/** Reads decimal seconds above zero; none for anything else. */
std::optional<duration> parseSeconds(std::string_view text);

/** Decimal seconds to the millisecond, at least 0.001. */
std::string formatSeconds(duration span);

} // namespace plantainlatch::http_fields
