#pragma once

/** \file
 * Factory functions for command results.
 */

#include <string>
#include <utility>

#include "model/command.h"

namespace plantainlatch {

inline command_result accepted() { return {}; }

/** For a command that changes nothing because it took effect before or was superseded. */
inline command_result alreadyAccepted(std::string message = {})
{
    return { command_verdict::AlreadyAccepted, std::move(message), {}, {} };
}

inline command_result refused(std::string message) { return { command_verdict::Refused, std::move(message), {}, {} }; }

inline command_result conflict(std::string message)
{
    return { command_verdict::Conflict, std::move(message), {}, {} };
}

} // namespace plantainlatch
