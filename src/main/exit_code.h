#pragma once

/** \file
 * The exit codes of the program.
 */

namespace plantainlatch::exit_code {

inline constexpr int ok = 0;
/** The system refused the operation, or a service failed. */
inline constexpr int failed = 1;
/** The command line or a file is invalid; nothing was sent. */
inline constexpr int badInput = 2;
/** No entry answered; the operation may or may not have been executed, and can safely be repeated. */
inline constexpr int unreachable = 3;

} // namespace plantainlatch::exit_code
