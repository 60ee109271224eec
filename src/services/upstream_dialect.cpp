#include "services/upstream_dialect.h"

#include "codec/http_fields.h"

namespace plantainlatch {

upstream_dialect ownDialect()
{
    upstream_dialect dialect;
    dialect.nameField = http_fields::call;
    dialect.nameOf = [](const upstream_call&, const std::string& generated) { return generated; };
    dialect.fieldsOf = [](const upstream_call& call) -> std::vector<header_field> {
        return { { http_fields::requestTimeout, http_fields::formatSeconds(call.timeout) } };
    };
    dialect.metadataOf = [](const upstream_call&, const upstream_answer&) { return answer_metadata {}; };
    return dialect;
}

} // namespace plantainlatch
