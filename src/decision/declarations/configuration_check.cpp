#include "decision/declarations/configuration_check.h"

#include <chrono>

#include "absl/strings/str_cat.h"
#include "decision/declarations/definition_names.h"

namespace plantainlatch {

namespace {

    constexpr std::uint32_t hundredPercent = 100;

    template <typename Definition>
    const text_position* findPosition(const std::vector<declared<Definition>>& items, const Definition& wanted)
    {
        for (const auto& item : items) {
            if (keyOf(item.value) == keyOf(wanted))
                return &item.position;
        }
        return nullptr;
    }

    /** The position at which the declaration adds or changes the definition, or null. */
    template <typename Definition>
    const text_position* changedPosition(const definition_changes<Definition>& changes, const Definition& wanted)
    {
        const text_position* added = findPosition(changes.added, wanted);
        return added != nullptr ? added : findPosition(changes.changed, wanted);
    }

    struct configuration_checker {
        const configuration& merged;
        const declaration& content;
        finding_list& findings;

        /** Adds a finding at the definition, or at `fallback` if the declaration neither adds nor changes it. */
        template <typename Definition>
        void report(const definition_changes<Definition>& changes, const Definition& item, const std::string& what,
            const std::string& expected, const text_position& fallback = {})
        {
            const text_position* position = changedPosition(changes, item);
            findings.add(
                position != nullptr ? *position : fallback, absl::StrCat(describeName(item), " ", what), expected);
        }

        /** The first withdrawn or changed region, which is the likely cause of a missing failure domain. */
        text_position removedDomainPosition() const
        {
            if (!content.regions.withdrawn.empty())
                return content.regions.withdrawn.front().position;
            if (!content.regions.changed.empty())
                return content.regions.changed.front().position;
            return {};
        }

        text_position removedServicePosition(const service_id& service) const
        {
            service_definition wanted;
            wanted.id = service;
            const text_position* position = findPosition(content.services.withdrawn, wanted);
            return position != nullptr ? *position : text_position();
        }

        text_position removedRegionPosition(const region_id& region) const
        {
            const text_position* position = findPosition(content.regions.withdrawn, region_definition { region, {} });
            return position != nullptr ? *position : text_position();
        }

        template <typename Definition>
        void requireDomain(
            const definition_changes<Definition>& changes, const Definition& item, const failure_domain_id& domain)
        {
            if (regionOf(merged, domain).empty())
                report(changes, item, absl::StrCat("names the unknown failure domain '", domain.value(), "'"),
                    "a failure domain of a declared region", removedDomainPosition());
        }

        template <typename Definition>
        void requireService(
            const definition_changes<Definition>& changes, const Definition& item, const service_id& service)
        {
            if (!merged.services.contains(service))
                report(changes, item, absl::StrCat("names the unknown service '", service.value(), "'"),
                    "a declared service", removedServicePosition(service));
        }

        template <typename Definition>
        void require(const definition_changes<Definition>& changes, const Definition& item, bool holds,
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
            require(content.regions, region, !id.empty(), "has no name", "a name");
            require(content.regions, region, !region.failureDomains.empty(), "has no failure domain",
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
            require(content.links, link, link.left != link.right, "joins a region with itself", "two regions");
            require(content.links, link, link.budget.value() > 0, "has no budget", "a budget above 0");
            for (const region_id& region : { link.left, link.right }) {
                if (!merged.regions.contains(region))
                    report(content.links, link, absl::StrCat("names the unknown region '", region.value(), "'"),
                        "a declared region", removedRegionPosition(region));
            }
        }
    }

    void configuration_checker::checkServices()
    {
        for (const auto& [id, item] : merged.services) {
            const auto& changes = content.services;
            require(changes, item, !id.empty(), "has no name", "a name");
            require(changes, item, item.slots.value() > 0, "has no slots", "at least 1 slot");
            require(changes, item, item.connections > 0, "has no connections", "at least 1 connection");
            require(changes, item, item.defaultDeadline > duration::zero(), "has no default deadline",
                "a deadline above 0");
            require(changes, item, item.maximumDeadline >= item.defaultDeadline,
                "has a longest deadline below its default", "a longest deadline of at least the default");
            require(changes, item, item.keyRetention > item.maximumDeadline,
                "forgets idempotency keys before its longest deadline", "a retention above the longest deadline");
        }
    }

    void configuration_checker::checkShares()
    {
        std::map<service_id, std::uint64_t> totals;
        for (const auto& [key, share] : merged.shares) {
            requireService(content.shares, share, share.service);
            requireDomain(content.shares, share, share.failureDomain);
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
            requireService(content.upstreams, item, item.service);
            requireDomain(content.upstreams, item, item.failureDomain);
            const auto found = merged.services.find(item.service);
            if (!item.slots.has_value() || found == merged.services.end())
                continue;
            const bool isWithinLimit = item.slots->value() > 0 && *item.slots <= found->second.slots;
            require(content.upstreams, item, isWithinLimit, absl::StrCat("has ", item.slots->value(), " slots"),
                absl::StrCat("1 to ", found->second.slots.value(), ", the limit of its service"));
        }
    }

    void configuration_checker::checkShifts()
    {
        for (const auto& [id, item] : merged.shifts) {
            const auto& changes = content.shifts;
            requireService(changes, item, item.service);
            requireDomain(changes, item, item.from);
            requireDomain(changes, item, item.to);
            require(changes, item, item.from != item.to, "moves traffic to where it is", "two failure domains");
            require(changes, item, item.percent >= 1 && item.percent <= hundredPercent,
                absl::StrCat("moves ", item.percent, " percent"), "1 to 100 percent");
            require(changes, item, item.stepPercent >= 1 && item.stepPercent <= hundredPercent,
                absl::StrCat("steps by ", item.stepPercent, " percent"), "1 to 100 percent");
            require(changes, item, item.capPerSecond > 0, "has a cap of 0", "a cap above 0 requests a second");
            require(changes, item, item.stepInterval > duration::zero(), "has no step interval", "an interval above 0");
            for (const auto& [otherId, other] : merged.shifts) {
                const bool conflicts = otherId < id && other.service == item.service && other.from == item.from;
                require(changes, item, !conflicts,
                    absl::StrCat("moves the same traffic as shift '", otherId.value(), "'"),
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
