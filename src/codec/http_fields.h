#pragma once

/** \file
 * Names of HTTP header fields, lookup and removal of fields, and field values that are times in seconds.
 */

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "model/http.h"

namespace plantainlatch::http_fields {

inline constexpr const char* idempotencyKey = "Idempotency-Key";
/** How long the sender of a request waits for the answer, in decimal seconds. */
inline constexpr const char* requestTimeout = "X-Request-Timeout";
inline constexpr const char* outcome = "X-Plantainlatch-Outcome";
inline constexpr const char* reason = "X-Plantainlatch-Reason";
/** With the value 1 on a 503: the upstream did not run the request. */
inline constexpr const char* notRun = "X-Plantainlatch-Not-Run";
/** Identifies one call to an upstream, which may echo it in its answer. */
inline constexpr const char* call = "X-Plantainlatch-Call";
inline constexpr const char* retryAfter = "Retry-After";
inline constexpr const char* contentLength = "Content-Length";
inline constexpr const char* transferEncoding = "Transfer-Encoding";

/** Compares two field names case-insensitively. */
bool sameName(std::string_view left, std::string_view right);

/** The first field of that name, or null. */
const header_field* find(const std::vector<header_field>& fields, std::string_view name);

/** Whether a field applies to one connection only (RFC 9110, section 7.6.1) or is generated again for each hop. */
bool isHopByHop(std::string_view name);

/** Whether a field can have this value, so that a receiver reads the same: without control characters other than tabs,
 * and without spaces and tabs at its ends. */
bool isFieldValue(std::string_view value);

/** Removes spaces and tabs at both ends. */
std::string_view trimmed(std::string_view text);

/** Whether `name` is listed in the comma-separated `list`. */
bool listContains(std::string_view list, std::string_view name);

/** Removes the hop-by-hop fields and the fields that are listed in a Connection field. */
void keepEndToEnd(std::vector<header_field>& fields);

/** Parses a decimal number of seconds. Returns none unless it is above 0 and at most one day. */
std::optional<duration> parseSeconds(std::string_view text);

/** Formats decimal seconds, rounded down to milliseconds, but at least 0.001. */
std::string formatSeconds(duration span);

} // namespace plantainlatch::http_fields
