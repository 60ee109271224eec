#pragma once

/** \file
 * Says what a declaration would change and which promises it would put at risk.
 */

#include <vector>

#include "model/control_message.h"
#include "model/control_snapshot.h"
#include "ports/operator_port.h"

namespace plantainlatch {

/** The loads as far as they are known. */
struct known_loads {
    /** They are fresh: a place without a load has none. */
    bool known = false;
    std::vector<service_load> loads;
};

/** The plan of a declaration on this state and these loads. While the loads are not known, a change that moves traffic
 * at once is a risk, as nobody can tell what it would do. */
declaration_plan planDeclaration(
    const control_snapshot& state, const declaration& content, const known_loads& measured);

/** The risks of the plan that the declaration does not accept by name, one sentence each; empty when there are none. */
std::vector<std::string> findUnacceptedRisks(const declaration_plan& plan, const declaration& content);

} // namespace plantainlatch
