#pragma once

/** \file
 * `plantainlatch apply` and `plantainlatch plan`: declarations and what they would change.
 */

#include "main/subcommand.h"

namespace plantainlatch {

subcommand applyCommand();
subcommand planCommand();

} // namespace plantainlatch
