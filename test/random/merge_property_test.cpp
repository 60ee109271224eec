#include <string>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "decision/declarations/declaration_difference.h"
#include "decision/declarations/declaration_merge.h"

namespace plantainlatch {

namespace {

    class merge_property_fixture {
    protected:
        static std::string anyName(const char* kind, int kinds)
        {
            return kind + std::to_string(*rc::gen::inRange(0, kinds));
        }

        /** Adds the definition at random as an addition, a change or a withdrawal, which may be invalid. */
        template <typename Definition>
        static void addChange(definition_changes<Definition>& changes, const Definition& value)
        {
            const int kind = *rc::gen::inRange(0, 3);
            auto& list = kind == 0 ? changes.added : kind == 1 ? changes.changed : changes.withdrawn;
            list.push_back({ value, {} });
        }

        static service_definition anyService()
        {
            service_definition service;
            service.id = service_id(anyName("service", 2));
            service.slots = slot_count(*rc::gen::inRange<std::uint64_t>(1, 9));
            service.connections = *rc::gen::inRange<std::uint32_t>(10, 400);
            service.defaultDeadline = std::chrono::seconds(1);
            service.maximumDeadline = std::chrono::seconds(*rc::gen::inRange(1, 20));
            service.maximumBody = byte_count(1024);
            service.keyRetention = std::chrono::hours(24);
            return service;
        }

        static declaration anyChange()
        {
            declaration change;
            change.number = change_number(1);
            const int count = *rc::gen::inRange(1, 4);
            for (int i = 0; i < count; ++i) {
                const int region = *rc::gen::inRange(0, 3);
                const std::string number = std::to_string(region);
                const failure_domain_id domain("domain" + number);
                switch (*rc::gen::inRange(0, 4)) {
                case 0:
                    addChange(change.regions, region_definition { region_id("region" + number), { domain } });
                    break;
                case 1:
                    addChange(change.services, anyService());
                    break;
                case 2:
                    addChange(change.shares,
                        share_definition {
                            service_id(anyName("service", 2)), domain, *rc::gen::inRange<std::uint32_t>(0, 5) });
                    break;
                default:
                    addChange(change.upstreams,
                        upstream_definition {
                            upstream_id(anyName("upstream", 3)), service_id(anyName("service", 2)), domain, {} });
                    break;
                }
            }
            return change;
        }

        /** The result of merging random changes one after another; invalid ones are skipped. */
        static configuration anyConfiguration(int changes)
        {
            configuration config;
            for (int i = 0; i < changes; ++i) {
                finding_list findings;
                const absl::StatusOr<configuration> merged = mergeDeclaration(config, anyChange(), findings);
                RC_ASSERT(merged.ok() == findings.empty());
                if (merged.ok())
                    config = *merged;
            }
            return config;
        }
    };

} // namespace

TEST_CASE_METHOD(merge_property_fixture, "merge.difference_between_two_configurations.turns_one_into_the_other")
{
    REQUIRE(rc::check("the difference restores the first configuration", [] {
        const configuration first = anyConfiguration(*rc::gen::inRange(0, 30));
        configuration second = first;
        for (int i = 0; i < 20; ++i) {
            finding_list findings;
            const absl::StatusOr<configuration> merged = mergeDeclaration(second, anyChange(), findings);
            if (merged.ok())
                second = *merged;
        }
        RC_PRE(second.withdrawnUpstreams.empty() && first.withdrawnUpstreams.empty());
        finding_list findings;
        declaration reversal = declarationBetween(second, first);
        reversal.number = change_number(1);
        const absl::StatusOr<configuration> merged = mergeDeclaration(second, reversal, findings);
        RC_CLASSIFY(second != first);
        RC_LOG() << findings.format();
        RC_ASSERT(merged.ok());
        configuration restored = *merged;
        restored.withdrawnUpstreams.clear();
        restored.number = first.number;
        RC_ASSERT(restored == first);
    }));
}

} // namespace plantainlatch
