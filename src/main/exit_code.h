#pragma once

/** \file
 * The exit codes of the program.
 */

namespace plantainlatch::exit_code {

inline constexpr int ok = 0;
/** The system refused what was asked, or a service failed. */
inline constexpr int failed = 1;
/** The command line or a file is wrong; nothing was sent. */
inline constexpr int badInput = 2;
/** No entry answered; what was asked may or may not have been done, and may be asked again. */
inline constexpr int unreachable = 3;

} // namespace plantainlatch::exit_code
