#include "decision/declarations/declaration_difference.h"

#include "absl/strings/str_cat.h"
#include "decision/declarations/definition_names.h"

namespace plantainlatch {

namespace {

    template <typename Definition>
    const declared<Definition>* findSame(const std::vector<declared<Definition>>& items, const Definition& wanted)
    {
        for (const auto& item : items) {
            if (keyOf(item.value) == keyOf(wanted))
                return &item;
        }
        return nullptr;
    }

    template <typename Definition>
    void describeList(const std::vector<declared<Definition>>& acceptedItems,
        const std::vector<declared<Definition>>& offeredItems, const char* verb, std::vector<std::string>& clauses)
    {
        for (const auto& item : acceptedItems) {
            const declared<Definition>* counterpart = findSame(offeredItems, item.value);
            if (counterpart == nullptr)
                clauses.push_back(
                    absl::StrCat("the accepted one ", verb, " ", describeName(item.value), ", yours does not"));
            else if (!(counterpart->value == item.value))
                clauses.push_back(absl::StrCat("both have ", describeName(item.value), ", but with other values"));
        }
        for (const auto& item : offeredItems) {
            if (findSame(acceptedItems, item.value) == nullptr)
                clauses.push_back(
                    absl::StrCat("yours ", verb, " ", describeName(item.value), ", the accepted one does not"));
        }
    }

    template <typename Definition>
    void describeChanges(const definition_changes<Definition>& acceptedItems,
        const definition_changes<Definition>& offeredItems, std::vector<std::string>& clauses)
    {
        describeList(acceptedItems.added, offeredItems.added, "adds", clauses);
        describeList(acceptedItems.changed, offeredItems.changed, "changes", clauses);
        describeList(acceptedItems.withdrawn, offeredItems.withdrawn, "withdraws", clauses);
    }

    template <typename Definition, typename Map>
    void collectChanges(definition_changes<Definition>& changes, const Map& from, const Map& to)
    {
        for (const auto& [key, item] : to) {
            const auto former = from.find(key);
            if (former == from.end())
                changes.added.push_back({ item, {} });
            else if (!(former->second == item))
                changes.changed.push_back({ item, {} });
        }
        for (const auto& [key, item] : from) {
            if (!to.contains(key))
                changes.withdrawn.push_back({ item, {} });
        }
    }

} // namespace

std::vector<std::string> describeDifference(const declaration& existing, const declaration& offered)
{
    std::vector<std::string> clauses;
    if (existing.replaces != offered.replaces)
        clauses.push_back(absl::StrCat(
            "the accepted one replaces ", existing.replaces.value(), ", yours replaces ", offered.replaces.value()));
    forEachKind(existing, offered, [&](const auto& left, const auto& right) { describeChanges(left, right, clauses); });
    if (existing.note != offered.note)
        clauses.push_back(absl::StrCat("the accepted one's note is '", existing.note, "'"));
    if (existing.acceptedRisks != offered.acceptedRisks)
        clauses.emplace_back("the accepted risks differ");
    return clauses;
}

declaration declarationBetween(const configuration& from, const configuration& to)
{
    declaration difference;
    collectChanges(difference.regions, from.regions, to.regions);
    collectChanges(difference.links, from.links, to.links);
    collectChanges(difference.services, from.services, to.services);
    collectChanges(difference.shares, from.shares, to.shares);
    collectChanges(difference.upstreams, from.upstreams, to.upstreams);
    collectChanges(difference.shifts, from.shifts, to.shifts);
    for (const upstream_id& id : to.withdrawnUpstreams) {
        const bool isKnown = from.withdrawnUpstreams.contains(id) || from.upstreams.contains(id);
        if (!isKnown)
            difference.upstreams.withdrawn.push_back({ { id, {}, {}, {} }, {} });
    }
    return difference;
}

} // namespace plantainlatch
