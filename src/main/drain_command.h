#pragma once

/** \file
 * `plantainlatch drain` and `plantainlatch undrain`.
 */

#include "main/subcommand.h"

namespace plantainlatch {

subcommand drainCommand();
subcommand undrainCommand();

} // namespace plantainlatch
