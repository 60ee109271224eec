#pragma once

/** \file
 * Plans a declaration: lists what it would change and the risks that it would cause.
 */

#include <vector>

#include "model/control_message.h"
#include "model/control_snapshot.h"
#include "ports/operator_port.h"

namespace plantainlatch {

/** Measured loads. */
struct known_loads {
    /** Whether the loads are fresh and complete, so that a failure domain without an entry has no load. */
    bool known = false;
    std::vector<service_load> loads;
};

/** The plan of a declaration on this state and these loads. While the loads are not known, the effect of a change that
 * moves traffic at once can't be estimated; such a change counts as a region overload. */
declaration_plan planDeclaration(
    const control_snapshot& state, const declaration& content, const known_loads& measured);

/** All risks of the plan, one sentence each, if the declaration does not accept every kind of them by name; otherwise
 * empty. */
std::vector<std::string> findUnacceptedRisks(const declaration_plan& plan, const declaration& content);

} // namespace plantainlatch
