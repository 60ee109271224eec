#include "decision/declarations/configuration_difference.h"

#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"
#include "decision/declarations/text_difference.h"
#include "model/approximate_size.h"

namespace plantainlatch {

namespace {

    using routes_by_id = absl::flat_hash_map<route_id, const route_definition*>;

    routes_by_id indexRoutes(const std::vector<route_definition>& routes)
    {
        routes_by_id index;
        for (const route_definition& route : routes)
            index.emplace(route.id, &route);
        return index;
    }

    configuration withoutRoutesAndDocument(const configuration& config)
    {
        configuration other;
        other.number = config.number;
        other.regions = config.regions;
        other.links = config.links;
        other.services = config.services;
        other.shares = config.shares;
        other.upstreams = config.upstreams;
        other.withdrawnUpstreams = config.withdrawnUpstreams;
        other.shifts = config.shifts;
        return other;
    }

    void compareRoutes(const configuration& from, const configuration& to, configuration_difference& difference)
    {
        const routes_by_id former = indexRoutes(from.routes);
        const routes_by_id later = indexRoutes(to.routes);
        for (const route_definition& route : from.routes) {
            if (!later.contains(route.id))
                difference.removedRoutes.push_back(route.id);
        }
        for (const route_definition& route : to.routes) {
            const auto found = former.find(route.id);
            if (found == former.end())
                difference.addedRoutes.push_back(route);
            else if (!(*found->second == route))
                difference.changedRoutes.push_back(route);
        }
    }

    absl::StatusOr<std::vector<route_definition>> applyRoutes(
        const std::vector<route_definition>& from, const configuration_difference& difference)
    {
        const absl::flat_hash_set<route_id> removed(difference.removedRoutes.begin(), difference.removedRoutes.end());
        const routes_by_id changed = indexRoutes(difference.changedRoutes);
        std::vector<route_definition> routes;
        routes.reserve(from.size() + difference.addedRoutes.size());
        std::size_t replaced = 0;
        for (const route_definition& route : from) {
            if (removed.contains(route.id))
                continue;
            const auto found = changed.find(route.id);
            replaced += found != changed.end() ? 1 : 0;
            routes.push_back(found != changed.end() ? *found->second : route);
        }
        if (replaced != changed.size())
            return absl::InvalidArgumentError(
                absl::StrCat(changed.size(), " routes change, and ", replaced, " of them exist"));
        routes.insert(routes.end(), difference.addedRoutes.begin(), difference.addedRoutes.end());
        return routes;
    }

} // namespace

std::optional<configuration_difference> differenceBetween(const configuration& from, const configuration& to)
{
    configuration_difference difference;
    difference.other = withoutRoutesAndDocument(to);
    compareRoutes(from, to, difference);
    difference.document = textDifference(from.document, to.document);
    if (approximateSize(difference) >= approximateSize(to))
        return std::nullopt;
    const absl::StatusOr<configuration> restored = applyDifference(from, difference);
    if (!restored.ok() || !(*restored == to))
        return std::nullopt;
    return difference;
}

absl::StatusOr<configuration> applyDifference(const configuration& from, const configuration_difference& difference)
{
    absl::StatusOr<std::vector<route_definition>> routes = applyRoutes(from.routes, difference);
    if (!routes.ok())
        return routes.status();
    absl::StatusOr<std::string> document = applyTextDifference(from.document, difference.document);
    if (!document.ok())
        return document.status();
    configuration result = difference.other;
    result.routes = std::move(*routes);
    result.document = std::move(*document);
    return result;
}

} // namespace plantainlatch
