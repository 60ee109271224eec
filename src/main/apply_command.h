#pragma once

/** \file
 * `plantainlatch apply` applies a declaration; `plantainlatch plan` shows what it would change.
 */

#include "main/subcommand.h"

namespace plantainlatch {

subcommand applyCommand();
subcommand planCommand();

} // namespace plantainlatch
