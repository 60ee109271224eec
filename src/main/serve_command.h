#pragma once

/** \file
 * `plantainlatch serve`: runs one VM of the system.
 */

#include "main/subcommand.h"
#include "model/vm_settings.h"

namespace plantainlatch {

subcommand serveCommand();

/** Runs a VM until it has stopped gracefully after SIGTERM or SIGINT; returns an exit code. A failure to start is
 * written to standard error as one line. */
int runServe(const vm_settings& settings);

} // namespace plantainlatch
