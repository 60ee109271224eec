#include "decision/declarations/declaration_merge.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "core/internal_assert.h"
#include "decision/declarations/configuration_check.h"
#include "decision/declarations/definition_names.h"

namespace plantainlatch {

namespace {

    template <typename Definition, typename Map>
    void addNew(const definition_changes<Definition>& changes, Map& map, finding_list& findings)
    {
        for (const auto& item : changes.added) {
            if (!map.try_emplace(keyOf(item.value), item.value).second)
                findings.add(item.position, absl::StrCat(describeName(item.value), " exists already"),
                    "it under 'changed', or another name");
        }
    }

    template <typename Definition, typename Map>
    void changeExisting(const definition_changes<Definition>& changes, Map& map, finding_list& findings)
    {
        for (const auto& item : changes.changed) {
            const auto found = map.find(keyOf(item.value));
            if (found == map.end())
                findings.add(item.position, absl::StrCat(describeName(item.value), " does not exist"),
                    "it under 'added', or an existing name");
            else
                found->second = item.value;
        }
    }

    template <typename Definition, typename Map>
    void withdrawExisting(const definition_changes<Definition>& changes, Map& map, finding_list& findings)
    {
        for (const auto& item : changes.withdrawn) {
            if (map.erase(keyOf(item.value)) == 0)
                findings.add(
                    item.position, absl::StrCat(describeName(item.value), " does not exist"), "an existing name");
        }
    }

    /** Records withdrawn upstreams, so that their announcements are refused. An upstream needs no definition to be
     * withdrawn, since upstreams register themselves. */
    void withdrawUpstreams(
        const definition_changes<upstream_definition>& changes, configuration& config, finding_list& findings)
    {
        for (const auto& item : changes.withdrawn) {
            config.upstreams.erase(item.value.id);
            if (!config.withdrawnUpstreams.insert(item.value.id).second)
                findings.add(
                    item.position, absl::StrCat(describeName(item.value), " is withdrawn already"), "another name");
        }
        for (const auto& item : changes.added)
            config.withdrawnUpstreams.erase(item.value.id);
        if (!changes.withdrawn.empty() && config.withdrawnUpstreams.size() > maximumWithdrawnUpstreams)
            findings.add(changes.withdrawn.back().position, "too many withdrawn upstreams",
                absl::StrCat("at most ", maximumWithdrawnUpstreams));
    }

    template <typename Definition>
    void checkUnique(const definition_changes<Definition>& changes, finding_list& findings)
    {
        std::map<decltype(keyOf(std::declval<Definition>())), int> seen;
        for (const auto* list : { &changes.added, &changes.changed, &changes.withdrawn }) {
            for (const auto& item : *list) {
                if (++seen[keyOf(item.value)] == 2)
                    findings.add(item.position, absl::StrCat(describeName(item.value), " is named twice"),
                        "one change of each definition");
            }
        }
    }

    template <typename Definition, typename Map>
    void mergeKind(const definition_changes<Definition>& changes, Map& map, finding_list& findings)
    {
        checkUnique(changes, findings);
        addNew(changes, map, findings);
        changeExisting(changes, map, findings);
        if constexpr (!std::is_same_v<Definition, upstream_definition>)
            withdrawExisting(changes, map, findings);
    }

} // namespace

absl::StatusOr<configuration> mergeDeclaration(
    const configuration& config, const declaration& content, finding_list& findings)
{
    finding_list newFindings;
    configuration merged = config;
    if (content.number == change_number())
        newFindings.add({}, "the change has the number 0", "a number of at least 1");
    forEachKind(content, merged, [&](const auto& changes, auto& map) { mergeKind(changes, map, newFindings); });
    withdrawUpstreams(content.upstreams, merged, newFindings);
    checkConfiguration(merged, content, newFindings);
    merged.number = content.number;
    findings.append(newFindings);
    if (!newFindings.empty())
        return newFindings.toStatus();
    return merged;
}

} // namespace plantainlatch
