#pragma once

/** \file
 * The fields by which this system and upstreams talk beside the request itself.
 */

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "ports/upstream_port.h"

namespace plantainlatch {

/** How calls are marked, and what answers tell of the upstream. */
struct upstream_dialect {
    /** The field that names the call and that the upstream echoes. */
    const char* nameField = nullptr;
    /** The name of a call; `made` is one that no other call has. */
    std::function<std::string(const upstream_call&, const std::string& made)> nameOf;
    /** Fields of a call, beside its name, that replace the caller's own. */
    std::function<std::vector<header_field>(const upstream_call&)> fieldsOf;
    /** Reads what the answer tells of the upstream. */
    std::function<answer_metadata(const upstream_call&, const upstream_answer&)> metadataOf;
    /** An answer without a length may end with its connection. */
    bool mayEndWithConnection = false;
};

/** The project's own: X-Plantainlatch-Call, X-Request-Timeout, X-Plantainlatch-Not-Run. */
upstream_dialect ownDialect();

} // namespace plantainlatch
