#pragma once

/** \file
 * `plantainlatch status`, `history` and `dump`: read-only views of the system.
 */

#include "main/subcommand.h"

namespace plantainlatch {

subcommand statusCommand();
subcommand historyCommand();
subcommand dumpCommand();

} // namespace plantainlatch
