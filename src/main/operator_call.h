#pragma once

/** \file
 * Shared code of the subcommands that call the operator API: options, the call, and output of its result.
 */

#include <functional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "main/subcommand.h"
#include "services/operator_client.h"

namespace plantainlatch {

/** The options `--entry` and `--timeout`; `withJson` adds `--json`. */
std::vector<option_spec> operatorOptions(bool withJson);

/** Prints a successful answer in readable form. */
using answer_printer = std::function<void(const nlohmann::json&)>;

/** Sends the request to the entries of `--entry`, in order until one answers, and prints the answer, as JSON with
 * `--json`. Returns an exit code. */
int askAndPrint(const command_line& line, const operator_request& request, const answer_printer& print);

/** A request with the text of the declaration file; if the file is unreadable or invalid, prints why and returns an
 * error. */
absl::StatusOr<operator_request> declarationRequest(const command_line& line, const std::string& target);

/** A string member as is, any other member as JSON text; empty if the object has no such member. */
std::string memberText(const nlohmann::json& object, const char* name);

/** Prints rows in aligned columns; the first row is the heading. */
void printTable(const std::vector<std::vector<std::string>>& rows);

} // namespace plantainlatch
