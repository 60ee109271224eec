#pragma once

/** \file
 * `plantainlatch drain` and `plantainlatch undrain`: begin and end a drain.
 */

#include "main/subcommand.h"

namespace plantainlatch {

subcommand drainCommand();
subcommand undrainCommand();

} // namespace plantainlatch
