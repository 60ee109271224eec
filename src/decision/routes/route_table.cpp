#include "decision/routes/route_table.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

namespace plantainlatch {

namespace {

    /** A target latency that exceeds the time limit by this much or more is reported as an error. */
    constexpr duration maximumTargetLatencyExcess = std::chrono::minutes(1);

    std::string hostName(std::string_view host)
    {
        return absl::AsciiStrToLower(std::string(host.substr(0, host.find(':'))));
    }

    void checkRoute(const configuration& config, const route_definition& route, const text_position& position,
        finding_list& findings)
    {
        const std::string name = absl::StrCat("route '", route.id.value(), "'");
        for (const weighted_service& part : route.services) {
            if (!config.services.contains(part.service))
                findings.add(position, absl::StrCat(name, " names the unknown service '", part.service.value(), "'"),
                    "a service of the configuration");
        }
        if (route.services.empty())
            findings.add(position, name + " names no service", "one service or a split");
        if (route.maximumAttempts == 0)
            findings.add(position, name + " allows no attempt", "1 or more");
        if (route.targetLatency >= route.timeLimit + maximumTargetLatencyExcess)
            findings.add(position, name + " has a target latency far above its time limit", "one below the time limit");
        const bool isPath = route.pathPrefix.starts_with('/') && route.pathPrefix.ends_with('/');
        if (!isPath)
            findings.add(position, name + " has a path prefix without a slash at each end", "one like '/path/'");
        if (route.host.empty())
            findings.add(position, name + " has no host", "a host");
    }

} // namespace

void route_table::update(const configuration& config)
{
    if (config.number == m_number)
        return;
    m_number = config.number;
    m_byHost.clear();
    for (const route_definition& route : config.routes)
        m_byHost[hostName(route.host)].push_back(route);
    for (auto& [host, routes] : m_byHost) {
        std::stable_sort(routes.begin(), routes.end(),
            [](const auto& left, const auto& right) { return left.pathPrefix.size() > right.pathPrefix.size(); });
    }
    m_currentWeights.clear();
}

const route_definition* route_table::find(std::string_view host, std::string_view target) const
{
    const auto found = m_byHost.find(hostName(host));
    if (found == m_byHost.end())
        return nullptr;
    const std::string_view path = target.substr(0, target.find('?'));
    for (const route_definition& route : found->second) {
        if (path.starts_with(route.pathPrefix))
            return &route;
    }
    return nullptr;
}

service_id route_table::chooseService(const route_definition& route)
{
    if (route.services.size() == 1)
        return route.services.front().service;
    std::vector<double>& currentWeights = m_currentWeights[route.id];
    currentWeights.resize(route.services.size());
    double total = 0;
    for (std::size_t i = 0; i < currentWeights.size(); ++i) {
        currentWeights[i] += route.services[i].weight;
        total += route.services[i].weight;
    }
    const auto heaviest = std::max_element(currentWeights.begin(), currentWeights.end());
    *heaviest -= total;
    return route.services[static_cast<std::size_t>(heaviest - currentWeights.begin())].service;
}

void checkRoutes(const configuration& config, const std::string& fileName, finding_list& findings)
{
    for (const route_definition& route : config.routes)
        checkRoute(config, route, { fileName, 0, 0 }, findings);
}

} // namespace plantainlatch
