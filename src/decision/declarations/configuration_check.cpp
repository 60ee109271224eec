#include "decision/declarations/configuration_check.h"

#include <chrono>

#include "absl/strings/str_cat.h"
#include "decision/declarations/definition_names.h"

namespace plantainlatch {

namespace {

    constexpr std::uint32_t wholePercent = 100;

    template <typename Definition>
    const text_position* findPlace(const std::vector<declared<Definition>>& items, const Definition& wanted)
    {
        for (const auto& item : items) {
            if (keyOf(item.value) == keyOf(wanted))
                return &item.place;
        }
        return nullptr;
    }

    /** Where the declaration adds or changes the definition, or null. */
    template <typename Definition>
    const text_position* touchedPlace(const definition_changes<Definition>& changes, const Definition& wanted)
    {
        const text_position* added = findPlace(changes.added, wanted);
        return added != nullptr ? added : findPlace(changes.changed, wanted);
    }

    /** Checks one merged configuration for one declaration. */
    struct configuration_checker {
        const configuration& merged;
        const declaration& content;
        finding_list& findings;

        /** A finding at the definition, or where what it refers to went away. */
        template <typename Definition>
        void report(const definition_changes<Definition>& changes, const Definition& item, const std::string& what,
            const std::string& expected, const text_position& elsewhere = {})
        {
            const text_position* place = touchedPlace(changes, item);
            findings.add(place != nullptr ? *place : elsewhere, absl::StrCat(describeName(item), " ", what), expected);
        }

        /** Where the declaration took a failure domain away, as far as can be told. */
        text_position lostDomainPlace() const
        {
            if (!content.regions.withdrawn.empty())
                return content.regions.withdrawn.front().place;
            if (!content.regions.changed.empty())
                return content.regions.changed.front().place;
            return {};
        }

        text_position lostServicePlace(const service_id& service) const
        {
            service_definition wanted;
            wanted.id = service;
            const text_position* place = findPlace(content.services.withdrawn, wanted);
            return place != nullptr ? *place : text_position();
        }

        text_position lostRegionPlace(const region_id& region) const
        {
            const text_position* place = findPlace(content.regions.withdrawn, region_definition { region, {} });
            return place != nullptr ? *place : text_position();
        }

        template <typename Definition>
        void needDomain(
            const definition_changes<Definition>& changes, const Definition& item, const failure_domain_id& domain)
        {
            if (regionOf(merged, domain).empty())
                report(changes, item, absl::StrCat("names the unknown failure domain '", domain.value(), "'"),
                    "a failure domain of a declared region", lostDomainPlace());
        }

        template <typename Definition>
        void needService(
            const definition_changes<Definition>& changes, const Definition& item, const service_id& service)
        {
            if (!merged.services.contains(service))
                report(changes, item, absl::StrCat("names the unknown service '", service.value(), "'"),
                    "a declared service", lostServicePlace(service));
        }

        template <typename Definition>
        void need(const definition_changes<Definition>& changes, const Definition& item, bool holds,
            const std::string& what, const std::string& expected)
        {
            if (!holds)
                report(changes, item, what, expected);
        }

        void checkRegions();
        void checkLinks();
        void checkServices();
        void checkShares();
        void checkUpstreams();
        void checkShifts();
    };

    void configuration_checker::checkRegions()
    {
        std::map<failure_domain_id, region_id> owners;
        for (const auto& [id, region] : merged.regions) {
            need(content.regions, region, !id.empty(), "has no name", "a name");
            need(content.regions, region, !region.failureDomains.empty(), "has no failure domain",
                "at least one failure domain");
            for (const failure_domain_id& domain : region.failureDomains) {
                const auto [owner, isNew] = owners.try_emplace(domain, id);
                if (!isNew)
                    report(content.regions, region,
                        absl::StrCat("names failure domain '", domain.value(), "', which region '",
                            owner->second.value(), "' has"),
                        "each failure domain in one region, once");
            }
        }
    }

    void configuration_checker::checkLinks()
    {
        for (const auto& [key, link] : merged.links) {
            need(content.links, link, link.left != link.right, "joins a region with itself", "two regions");
            need(content.links, link, link.budget.value() > 0, "has no budget", "a budget above 0");
            for (const region_id& region : { link.left, link.right }) {
                if (!merged.regions.contains(region))
                    report(content.links, link, absl::StrCat("names the unknown region '", region.value(), "'"),
                        "a declared region", lostRegionPlace(region));
            }
        }
    }

    void configuration_checker::checkServices()
    {
        for (const auto& [id, item] : merged.services) {
            const auto& changes = content.services;
            need(changes, item, !id.empty(), "has no name", "a name");
            need(changes, item, item.slots.value() > 0, "has no slots", "at least 1 slot");
            need(changes, item, item.connections > 0, "has no connections", "at least 1 connection");
            need(changes, item, item.defaultDeadline > duration::zero(), "has no default deadline",
                "a deadline above 0");
            need(changes, item, item.maximumDeadline >= item.defaultDeadline,
                "has a longest deadline below its default", "a longest deadline of at least the default");
            need(changes, item, item.keyRetention > item.maximumDeadline,
                "forgets idempotency keys before its longest deadline", "a retention above the longest deadline");
        }
    }

    void configuration_checker::checkShares()
    {
        std::map<service_id, std::uint64_t> totals;
        for (const auto& [key, share] : merged.shares) {
            needService(content.shares, share, share.service);
            needDomain(content.shares, share, share.failureDomain);
            totals[share.service] += share.weight;
        }
        for (const auto& [key, share] : merged.shares) {
            if (totals[share.service] == 0)
                report(content.shares, share, "leaves the service without any weight", "a weight above 0 somewhere");
        }
    }

    void configuration_checker::checkUpstreams()
    {
        for (const auto& [id, item] : merged.upstreams) {
            needService(content.upstreams, item, item.service);
            needDomain(content.upstreams, item, item.failureDomain);
            const auto found = merged.services.find(item.service);
            if (!item.slots.has_value() || found == merged.services.end())
                continue;
            const bool fits = item.slots->value() > 0 && *item.slots <= found->second.slots;
            need(content.upstreams, item, fits, absl::StrCat("has ", item.slots->value(), " slots"),
                absl::StrCat("1 to ", found->second.slots.value(), ", the limit of its service"));
        }
    }

    void configuration_checker::checkShifts()
    {
        for (const auto& [id, item] : merged.shifts) {
            const auto& changes = content.shifts;
            needService(changes, item, item.service);
            needDomain(changes, item, item.from);
            needDomain(changes, item, item.to);
            need(changes, item, item.from != item.to, "moves traffic to where it is", "two failure domains");
            need(changes, item, item.percent >= 1 && item.percent <= wholePercent,
                absl::StrCat("moves ", item.percent, " percent"), "1 to 100 percent");
            need(changes, item, item.stepPercent >= 1 && item.stepPercent <= wholePercent,
                absl::StrCat("steps by ", item.stepPercent, " percent"), "1 to 100 percent");
            need(changes, item, item.capPerSecond > 0, "has a cap of 0", "a cap above 0 requests a second");
            need(changes, item, item.stepInterval > duration::zero(), "has no step interval", "an interval above 0");
            for (const auto& [otherId, other] : merged.shifts) {
                const bool clashes = otherId < id && other.service == item.service && other.from == item.from;
                need(changes, item, !clashes, absl::StrCat("moves the same traffic as shift '", otherId.value(), "'"),
                    "one shift for each service and source");
            }
        }
    }

} // namespace

void checkConfiguration(const configuration& merged, const declaration& content, finding_list& findings)
{
    configuration_checker checker { merged, content, findings };
    checker.checkRegions();
    checker.checkLinks();
    checker.checkServices();
    checker.checkShares();
    checker.checkUpstreams();
    checker.checkShifts();
}

} // namespace plantainlatch
