#pragma once

/** \file
 * `plantainlatch explain`: explains the result of a request from log files.
 */

#include "main/subcommand.h"

namespace plantainlatch {

subcommand explainCommand();

} // namespace plantainlatch
