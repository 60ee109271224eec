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
    void describeList(const std::vector<declared<Definition>>& acceptedOnes,
        const std::vector<declared<Definition>>& offeredOnes, const char* verb, std::vector<std::string>& sentences)
    {
        for (const auto& item : acceptedOnes) {
            const declared<Definition>* offered = findSame(offeredOnes, item.value);
            if (offered == nullptr)
                sentences.push_back(
                    absl::StrCat("the accepted one ", verb, " ", describeName(item.value), ", yours does not"));
            else if (!(offered->value == item.value))
                sentences.push_back(absl::StrCat("both have ", describeName(item.value), ", but with other values"));
        }
        for (const auto& item : offeredOnes) {
            if (findSame(acceptedOnes, item.value) == nullptr)
                sentences.push_back(
                    absl::StrCat("yours ", verb, " ", describeName(item.value), ", the accepted one does not"));
        }
    }

    template <typename Definition>
    void describeKind(const definition_changes<Definition>& acceptedOnes,
        const definition_changes<Definition>& offeredOnes, std::vector<std::string>& sentences)
    {
        describeList(acceptedOnes.added, offeredOnes.added, "adds", sentences);
        describeList(acceptedOnes.changed, offeredOnes.changed, "changes", sentences);
        describeList(acceptedOnes.withdrawn, offeredOnes.withdrawn, "withdraws", sentences);
    }

    template <typename Definition, typename Map>
    void changesBetween(definition_changes<Definition>& changes, const Map& from, const Map& to)
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

std::vector<std::string> describeDifference(const declaration& acceptedOne, const declaration& offered)
{
    std::vector<std::string> sentences;
    if (acceptedOne.replaces != offered.replaces)
        sentences.push_back(absl::StrCat(
            "the accepted one replaces ", acceptedOne.replaces.value(), ", yours replaces ", offered.replaces.value()));
    forEachKind(
        acceptedOne, offered, [&](const auto& left, const auto& right) { describeKind(left, right, sentences); });
    if (acceptedOne.note != offered.note)
        sentences.push_back(absl::StrCat("the accepted one's note is '", acceptedOne.note, "'"));
    if (acceptedOne.acceptedRisks != offered.acceptedRisks)
        sentences.emplace_back("the accepted risks differ");
    return sentences;
}

declaration declarationBetween(const configuration& from, const configuration& to)
{
    declaration between;
    changesBetween(between.regions, from.regions, to.regions);
    changesBetween(between.links, from.links, to.links);
    changesBetween(between.services, from.services, to.services);
    changesBetween(between.shares, from.shares, to.shares);
    changesBetween(between.upstreams, from.upstreams, to.upstreams);
    changesBetween(between.shifts, from.shifts, to.shifts);
    for (const upstream_id& id : to.withdrawnUpstreams) {
        const bool listed = from.withdrawnUpstreams.contains(id) || from.upstreams.contains(id);
        if (!listed)
            between.upstreams.withdrawn.push_back({ { id, {}, {}, {} }, {} });
    }
    return between;
}

} // namespace plantainlatch
