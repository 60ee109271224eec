#pragma once

/** \file
 * Plans a declaration: lists what it would change and the risks that it would cause.
 */

#include <vector>

#include "model/control_message.h"
#include "model/control_snapshot.h"
#include "ports/operator_port.h"

namespace plantainlatch {

/** The measured loads, and whether they can be relied on. */
struct known_loads {
    /** Whether the loads are fresh and complete, so that a failure domain without an entry has no load. */
    bool known = false;
    std::vector<service_load> loads;
};

/** Plans a declaration for the given state and loads. If the loads are not known, the effect of a change that moves
 * traffic immediately can't be estimated, so such a change is reported as a risk of region overload. */
declaration_plan planDeclaration(
    const control_snapshot& state, const declaration& content, const known_loads& measured);

/** All risks of the plan, one sentence each, if the declaration does not accept every kind of them by name; otherwise
 * empty. */
std::vector<std::string> findUnacceptedRisks(const declaration_plan& plan, const declaration& content);

} // namespace plantainlatch
