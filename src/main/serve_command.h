#pragma once

/** \file
 * `plantainlatch serve`: runs one VM of the system.
 */

#include "main/subcommand.h"
#include "model/vm_settings.h"

namespace plantainlatch {

subcommand serveCommand();

/** Runs a VM until SIGTERM or SIGINT and its graceful stop; the result is an exit code. What prevents the start is
 * written to standard error as one line. */
int runServe(const vm_settings& settings);

} // namespace plantainlatch
