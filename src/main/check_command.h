#pragma once

/** \file
 * `plantainlatch check`: checks settings and declarations without a running system.
 */

#include "main/subcommand.h"

namespace plantainlatch {

subcommand checkCommand();

} // namespace plantainlatch
