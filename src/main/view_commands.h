#pragma once

/** \file
 * `plantainlatch status`, `history` and `dump`: what the system shows of itself.
 */

#include "main/subcommand.h"

namespace plantainlatch {

subcommand statusCommand();
subcommand historyCommand();
subcommand dumpCommand();

} // namespace plantainlatch
