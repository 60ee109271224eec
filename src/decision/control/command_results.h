#pragma once

/** \file
 * Short ways to make the results of commands.
 */

#include <string>
#include <utility>

#include "model/command.h"

namespace plantainlatch {

/** The command changed the state. */
inline command_result accepted() { return {}; }

/** The state is as the command wants it already. */
inline command_result alreadyAccepted(std::string message = {})
{
    return { command_verdict::AlreadyAccepted, std::move(message), {}, {} };
}

/** The command does not fit the state. */
inline command_result refused(std::string message) { return { command_verdict::Refused, std::move(message), {}, {} }; }

/** Another change has the number. */
inline command_result conflict(std::string message)
{
    return { command_verdict::Conflict, std::move(message), {}, {} };
}

} // namespace plantainlatch
