#pragma once

/** \file
 * `plantainlatch explain`: what became of a request, from log files.
 */

#include "main/subcommand.h"

namespace plantainlatch {

subcommand explainCommand();

} // namespace plantainlatch
