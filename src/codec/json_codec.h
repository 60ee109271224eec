#pragma once

/** \file
 * Encodes the JSON bodies of answers to callers, upstreams and operators.
 */

#include <string>
#include <vector>

#include "core/clock.h"
#include "core/findings.h"
#include "kernel/state_dump.h"
#include "ports/entry_list_port.h"
#include "ports/operator_port.h"

namespace plantainlatch {

/** `{"renew_after_ms":N}`. */
std::string encodeRenewalJson(duration renewAfter);

/** The entries in the order of the list, with their weights and the time in ms that the list may be cached. */
std::string encodeEntryListJson(const entry_list& list);

/** `{"declaration": TEXT}`, where TEXT is YAML. */
std::string encodeDeclarationTextJson(const std::string& yaml);

std::string encodeStatusJson(const system_status& status);
std::string encodeHistoryJson(const std::vector<history_record>& history);
std::string encodePlanJson(const declaration_plan& plan);
std::string encodeCommandResultJson(const command_result& result);
std::string encodeDumpJson(const state_dump& dump);

/** `{"error":TEXT,"findings":[...]}`; each finding with its file, line and column. */
std::string encodeErrorJson(const std::string& message, const finding_list& findings = {});

} // namespace plantainlatch
