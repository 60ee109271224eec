#include "decision/declarations/configuration_difference.h"

#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"
#include "decision/declarations/text_difference.h"
#include "model/approximate_size.h"

namespace plantainlatch {

namespace {

    configuration withoutComparedParts(const configuration& config)
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
        other.admission = config.admission;
        return other;
    }

    std::vector<route_edit> compareRoutes(
        const std::vector<route_definition>& from, const std::vector<route_definition>& to)
    {
        absl::flat_hash_map<route_id, std::size_t> positions;
        for (std::size_t i = 0; i < from.size(); ++i)
            positions.emplace(from[i].id, i);
        std::vector<route_edit> edits(1);
        for (const route_definition& route : to) {
            route_edit& last = edits.back();
            const std::size_t copyEnd = last.copyFrom + last.copyCount;
            if (last.added.empty() && copyEnd < from.size() && from[copyEnd] == route) {
                ++last.copyCount;
                continue;
            }
            const auto found = positions.find(route.id);
            if (found != positions.end() && from[found->second] == route)
                edits.push_back({ found->second, 1, {} });
            else
                last.added.push_back(route);
        }
        return edits;
    }

    absl::StatusOr<std::vector<route_definition>> applyRoutes(
        const std::vector<route_definition>& from, const std::vector<route_edit>& edits)
    {
        std::vector<route_definition> routes;
        for (const route_edit& edit : edits) {
            if (edit.copyFrom > from.size() || edit.copyCount > from.size() - edit.copyFrom)
                return absl::InvalidArgumentError(absl::StrCat(
                    "an edit copies ", edit.copyCount, " routes from ", edit.copyFrom, " of a list of ", from.size()));
            const auto begin = from.begin() + static_cast<std::ptrdiff_t>(edit.copyFrom);
            routes.insert(routes.end(), begin, begin + static_cast<std::ptrdiff_t>(edit.copyCount));
            routes.insert(routes.end(), edit.added.begin(), edit.added.end());
        }
        return routes;
    }

    void compareAccounts(const std::map<account_id, client_account>& from,
        const std::map<account_id, client_account>& to, configuration_difference& difference)
    {
        for (const auto& [id, account] : to) {
            const auto former = from.find(id);
            if (former == from.end() || !(former->second == account))
                difference.changedAccounts.push_back(account);
        }
        for (const auto& [id, account] : from) {
            if (!to.contains(id))
                difference.removedAccounts.push_back(id);
        }
    }

    absl::StatusOr<std::map<account_id, client_account>> applyAccounts(
        std::map<account_id, client_account> accounts, const configuration_difference& difference)
    {
        for (const account_id& id : difference.removedAccounts) {
            if (accounts.erase(id) == 0)
                return absl::InvalidArgumentError("an edit removes an account that does not exist");
        }
        for (const client_account& account : difference.changedAccounts)
            accounts[account.id] = account;
        return accounts;
    }

} // namespace

std::optional<configuration_difference> differenceBetween(const configuration& from, const configuration& to)
{
    configuration_difference difference;
    difference.other = withoutComparedParts(to);
    difference.routes = compareRoutes(from.routes, to.routes);
    difference.document = textDifference(from.document, to.document);
    compareAccounts(from.accounts, to.accounts, difference);
    if (approximateSize(difference) >= approximateSize(to))
        return std::nullopt;
    return difference;
}

absl::StatusOr<configuration> applyDifference(const configuration& from, const configuration_difference& difference)
{
    absl::StatusOr<std::vector<route_definition>> routes = applyRoutes(from.routes, difference.routes);
    if (!routes.ok())
        return routes.status();
    absl::StatusOr<std::string> document = applyTextDifference(from.document, difference.document);
    if (!document.ok())
        return document.status();
    absl::StatusOr<std::map<account_id, client_account>> accounts = applyAccounts(from.accounts, difference);
    if (!accounts.ok())
        return accounts.status();
    configuration result = difference.other;
    result.accounts = std::move(*accounts);
    result.routes = std::move(*routes);
    result.document = std::move(*document);
    return result;
}

} // namespace plantainlatch
