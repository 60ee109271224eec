#pragma once

/** \file
 * The header fields that are exchanged with upstreams in addition to those of the caller's request.
 */

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "ports/upstream_port.h"

namespace plantainlatch {

/** Defines the header fields of calls to upstreams, and how metadata is read from their answers. */
struct upstream_dialect {
    /** The header field with the name of the call, which upstreams may echo in the answer. */
    const char* nameField = nullptr;
    /** Whether upstreams echo the name in their answers. An answer without it is then accepted only on a connection
     * that has carried no other call: elsewhere, a faulty upstream may have repeated the answer to an earlier one. */
    bool upstreamsEchoName = false;
    /** Returns the name of a call; `generated` is a unique name that it can use. */
    std::function<std::string(const upstream_call&, const std::string& generated)> nameOf;
    /** Returns further header fields of the call; they replace fields of the same name in the caller's request. */
    std::function<std::vector<header_field>(const upstream_call&)> fieldsOf;
    /** Reads the metadata of an answer. */
    std::function<answer_metadata(const upstream_call&, const upstream_answer&)> metadataOf;
    /** Whether the body of an answer may be delimited by the end of the connection. */
    bool allowsCloseDelimitedBody = false;
};

/** The project's own dialect: X-Plantainlatch-Call and X-Request-Timeout in calls, and X-Plantainlatch-Not-Run in
 * answers, which the decision code reads. */
upstream_dialect ownDialect();

} // namespace plantainlatch
