#pragma once

/** \file
 * The subcommands of the program.
 */

#include <functional>
#include <string>
#include <vector>

#include "runtime/command_line.h"

namespace plantainlatch {

/** A subcommand: its options and its function, which returns an exit code. */
struct subcommand {
    command_spec spec;
    std::function<int(const command_line&)> run;
};

/** Parses the arguments and runs the subcommand; prints the help or a parse error instead. Returns an exit code. */
int runSubcommand(const subcommand& item, const std::vector<std::string>& arguments);

/** The footer of the help text, which lists the exit codes. */
std::string exitCodeHelp();

/** The content of a file, up to `limit` bytes; NotFound, or ResourceExhausted when it is larger. */
absl::StatusOr<std::string> readFile(const std::string& path, std::size_t limit);

} // namespace plantainlatch
