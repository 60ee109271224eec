#pragma once

/** \file
 * The hook by which operators learn which promises are at risk.
 */

#include <functional>
#include <vector>

#include "ports/operator_port.h"

namespace plantainlatch {

/** Promises at risk as far as this VM knows; the leader knows of the whole system. */
struct alert_port {
    std::function<std::vector<alert>()> active;
};

} // namespace plantainlatch
