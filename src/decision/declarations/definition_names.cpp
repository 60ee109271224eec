#include "decision/declarations/definition_names.h"

#include "absl/strings/str_cat.h"

namespace plantainlatch {

std::string describeName(const region_definition& item) { return absl::StrCat("region '", item.id.value(), "'"); }

std::string describeName(const service_definition& item) { return absl::StrCat("service '", item.id.value(), "'"); }

std::string describeName(const upstream_definition& item) { return absl::StrCat("upstream '", item.id.value(), "'"); }

std::string describeName(const shift_definition& item) { return absl::StrCat("shift '", item.id.value(), "'"); }

std::string describeName(const share_definition& item)
{
    return absl::StrCat("share of '", item.service.value(), "' in '", item.failureDomain.value(), "'");
}

std::string describeName(const link_definition& item)
{
    return absl::StrCat("link between '", item.left.value(), "' and '", item.right.value(), "'");
}

} // namespace plantainlatch
