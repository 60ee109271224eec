#pragma once

/** \file
 * The subcommands of the program.
 */

#include <functional>
#include <string>
#include <vector>

#include "runtime/command_line.h"

namespace plantainlatch {

/** A subcommand: its options, and what it does; the result is an exit code. */
struct subcommand {
    command_spec spec;
    std::function<int(const command_line&)> run;
};

/** Parses the arguments, prints help or what is wrong with them, or runs the subcommand. */
int runSubcommand(const subcommand& item, const std::vector<std::string>& arguments);

/** The text below the options that lists the exit codes. */
std::string exitCodeHelp();

/** The content of a file, up to `limit` bytes; NotFound, or ResourceExhausted when it is larger. */
absl::StatusOr<std::string> readFile(const std::string& path, std::size_t limit);

} // namespace plantainlatch
