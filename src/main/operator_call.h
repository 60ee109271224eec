#pragma once

/** \file
 * What the operators' subcommands share: their options, the call, and how its failures are shown.
 */

#include <functional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "main/subcommand.h"
#include "services/operator_client.h"

namespace plantainlatch {

/** Options for whom to ask; `withJson` adds `--json`. */
std::vector<option_spec> operatorOptions(bool withJson);

/** Shows a successful answer to a person. */
using answer_printer = std::function<void(const nlohmann::json&)>;

/** Asks the entries of `--entry` and prints the answer, as JSON with `--json`. The result is an exit code. */
int askAndPrint(const command_line& line, const operator_request& request, const answer_printer& print);

/** A request with the text of a declaration file; prints why a file can't be read or is not valid. */
absl::StatusOr<operator_request> declarationRequest(const command_line& line, const std::string& target);

/** The text of a member, empty without one; a number is written out. */
std::string memberText(const nlohmann::json& object, const char* name);

/** Prints rows in columns as wide as their longest text; the first row is the heading. */
void printTable(const std::vector<std::vector<std::string>>& rows);

} // namespace plantainlatch
