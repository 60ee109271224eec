#include "model/configuration.h"

#include <algorithm>

#include "absl/strings/match.h"

namespace plantainlatch {

namespace {

    bool isSafeMethod(const std::string& method)
    {
        return method == "GET" || method == "HEAD" || method == "OPTIONS" || method == "TRACE";
    }

} // namespace

bool needsCredential(const configuration& config)
{
    return config.admission == caller_admission::AccountHolders || !config.accounts.empty();
}

region_id regionOf(const configuration& config, const failure_domain_id& domain)
{
    for (const auto& [id, region] : config.regions) {
        const auto& domains = region.failureDomains;
        if (std::find(domains.begin(), domains.end(), domain) != domains.end())
            return id;
    }
    return {};
}

bool isIdempotent(const service_definition& service, const std::string& method, const std::string& target)
{
    const route_rule* longest = nullptr;
    for (const route_rule& rule : service.routes) {
        if (rule.method != method || !absl::StartsWith(target, rule.pathPrefix))
            continue;
        if (longest == nullptr || rule.pathPrefix.size() > longest->pathPrefix.size())
            longest = &rule;
    }
    return longest != nullptr ? longest->idempotent : isSafeMethod(method);
}

} // namespace plantainlatch
