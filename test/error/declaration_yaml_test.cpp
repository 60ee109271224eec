#include <string>

#include <catch2/catch.hpp>

#include "absl/strings/str_replace.h"
#include "codec/declaration_yaml.h"

namespace plantainlatch {

namespace {

    const std::string validDeclaration = R"(number: 2
replaces: 1
note: Kirishima opens
accept_risks: [region-overload]
regions:
  add:
    - {id: kagoshima, failure_domains: [tenmonkan, kirishima]}
links:
  change:
    - {between: [kumamoto, fukuoka], budget: 4Gbit/s}
services:
  add:
    - id: booking
      slots: 6
      connections: 360
      default_deadline: 5s
      maximum_deadline: 30s
      maximum_body: 1MiB
      key_retention: 24h
      routes:
        - {method: POST, path: /search, idempotent: true}
shares:
  withdraw:
    - {service: booking, failure_domain: kokura}
upstreams:
  add:
    - {id: booking-7, service: booking, failure_domain: kirishima, slots: 3}
shifts:
  add:
    - {id: open, service: booking, from: kokura, to: kirishima, percent: 50, cap_per_second: 40, step_percent: 5, step_interval: 2s}
)";

    class declaration_yaml_fixture {
    protected:
        std::string findingsWith(const std::string& part, const std::string& replacement)
        {
            REQUIRE(validDeclaration.find(part) != std::string::npos);
            finding_list findings;
            const auto result = parseDeclaration(
                absl::StrReplaceAll(validDeclaration, { { part.c_str(), replacement.c_str() } }), "2.yaml", findings);
            REQUIRE(result.ok() == findings.empty());
            return findings.format();
        }
    };

} // namespace

TEST_CASE_METHOD(declaration_yaml_fixture, "declaration_yaml.valid_text.gives_all_definitions_with_positions")
{
    finding_list findings;
    const auto result = parseDeclaration(validDeclaration, "2.yaml", findings);
    REQUIRE_THAT(findings.format(), Catch::Equals(""));
    REQUIRE(result->number == change_number(2));
    REQUIRE(result->acceptedRisks == std::vector<accepted_risk> { accepted_risk::RegionOverload });
    REQUIRE(result->regions.added[0].value.failureDomains.size() == 2);
    REQUIRE(result->links.changed[0].value.left == region_id("fukuoka"));
    REQUIRE(result->links.changed[0].value.budget == bytes_per_second(500'000'000));
    REQUIRE(result->services.added[0].position.line == 13);
    REQUIRE(result->services.added[0].value.keyRetention == std::chrono::hours(24));
    REQUIRE(result->services.added[0].value.routes[0].idempotent);
    REQUIRE(result->shares.withdrawn[0].value.failureDomain == failure_domain_id("kokura"));
    REQUIRE(result->upstreams.added[0].value.slots == slot_count(3));
    REQUIRE(result->shifts.added[0].value.stepInterval == std::chrono::seconds(2));
}

TEST_CASE_METHOD(declaration_yaml_fixture, "declaration_yaml.one_invalid_value.is_a_finding_with_its_position")
{
    using Catch::Matchers::Contains;
    CHECK_THAT(findingsWith("replaces: 1", "replaces: 2"), Contains("2.yaml:2:11: 'replaces' is not below 'number'"));
    CHECK_THAT(findingsWith("number: 2", "number: -2"), Contains("2.yaml:1:9: '-2', expected a whole number"));
    CHECK_THAT(findingsWith("[region-overload]", "[anything]"), Contains("the risk 'anything', expected"));
    CHECK_THAT(findingsWith("4Gbit/s", "4Gbps"), Contains("2.yaml:10:46: '4Gbps', expected"));
    CHECK_THAT(findingsWith("[kumamoto, fukuoka]", "[fukuoka, fukuoka]"), Contains("two different regions"));
    CHECK_THAT(findingsWith("[tenmonkan, kirishima]", "[kirishima, kirishima]"), Contains("each once"));
    CHECK_THAT(findingsWith("default_deadline: 5s", "default_deadline: 31s"), Contains("above 'maximum_deadline'"));
    CHECK_THAT(findingsWith("slots: 6", "slots: 0"), Contains("2.yaml:14:14: 'slots' is 0, expected more than 0"));
    CHECK_THAT(findingsWith("percent: 50", "percent: 101"), Contains("'percent' is 101"));
    CHECK_THAT(findingsWith("to: kirishima, percent", "to: kokura, percent"), Contains("the same as 'from'"));
    CHECK_THAT(findingsWith("path: /search", "path: search"), Contains("a path that begins with /"));
    CHECK_THAT(findingsWith("id: booking-7", "id: a b"), Contains("'a b', expected a name"));
    CHECK_THAT(findingsWith("      connections: 360\n", ""), Contains("2.yaml:13:7: no 'connections'"));
    CHECK_THAT(findingsWith("links:", "regions:"), Contains("'regions' appears twice"));
    CHECK_THAT(findingsWith("  withdraw:\n", "  remove:\n"), Contains("unknown key 'remove'"));
}

TEST_CASE_METHOD(declaration_yaml_fixture, "declaration_yaml.duplicate_definition.is_rejected")
{
    finding_list findings;
    REQUIRE_FALSE(parseDeclaration("number: 1\nreplaces: 0\nregions:\n  add:\n    - {id: a, failure_domains: [x]}\n"
                                   "  withdraw:\n    - {id: a}\n",
        "1.yaml", findings)
                      .ok());
    REQUIRE(findings.format() == "1.yaml:7:7: 'a' appears twice, expected each once");
}

TEST_CASE_METHOD(declaration_yaml_fixture, "declaration_yaml.no_change_or_truncated_text.is_never_accepted_silently")
{
    finding_list none;
    REQUIRE_FALSE(parseDeclaration("number: 1\nreplaces: 0\n", "1.yaml", none).ok());
    REQUIRE_THAT(none.format(), Catch::Contains("a declaration without a change"));
    for (std::size_t size = 1; size < validDeclaration.size(); ++size) {
        finding_list findings;
        const auto result = parseDeclaration(validDeclaration.substr(0, size), "2.yaml", findings);
        CHECK(result.ok() == findings.empty());
    }
}

} // namespace plantainlatch
