#include <string>

#include <catch2/catch.hpp>

#include "absl/strings/str_replace.h"
#include "codec/settings_yaml.h"
#include "codec/yaml_node.h"

namespace plantainlatch {

namespace {

    const std::string validSettings = R"(vm: e1
vms:
  - {vm: e1, region: fukuoka, failure_domain: hakata, caller_address: "127.0.1.1:8080", peer_address: "127.0.1.1:8081", replica: true}
  - {vm: e2, region: kumamoto, failure_domain: chuo-ku, caller_address: "127.0.1.2:8080", peer_address: "127.0.1.2:8081"}
data_folder: state/e1
shared_key_file: key
limits: {maximum_headers: 8KiB, maximum_body: 2MB}
log_level: warning
lookup_cache_time: 1500ms
)";

    class settings_yaml_fixture {
    protected:
        /** The findings for the valid settings with `part` replaced. */
        std::string findingsWith(const std::string& part, const std::string& replacement)
        {
            REQUIRE(validSettings.find(part) != std::string::npos);
            finding_list findings;
            const auto result = parseSettings(
                absl::StrReplaceAll(validSettings, { { part.c_str(), replacement.c_str() } }), "e1.yaml", findings);
            REQUIRE(result.ok() == findings.empty());
            return findings.format();
        }
    };

} // namespace

TEST_CASE_METHOD(settings_yaml_fixture, "settings_yaml.valid_text.gives_all_values")
{
    finding_list findings;
    const auto settings = parseSettings(validSettings, "e1.yaml", findings);
    REQUIRE_THAT(findings.format(), Catch::Equals(""));
    REQUIRE(settings->self.id == vm_id("e1"));
    REQUIRE(settings->self.replica);
    REQUIRE(settings->vms.size() == 2);
    REQUIRE(settings->vms[1].peerAddress == network_address { "127.0.1.2", 8081 });
    REQUIRE(settings->dataFolder == "state/e1");
    REQUIRE(settings->limits.maximumHeaders == byte_count(8192));
    REQUIRE(settings->limits.maximumBody == byte_count(2'000'000));
    REQUIRE(settings->lookupCacheTime == std::chrono::milliseconds(1500));
}

TEST_CASE_METHOD(settings_yaml_fixture, "settings_yaml.one_invalid_value.is_a_finding_with_its_position")
{
    using Catch::Matchers::Contains;
    CHECK_THAT(findingsWith("log_level:", "log_livel:"), Contains("e1.yaml:8:1: unknown key 'log_livel', expected"));
    CHECK_THAT(findingsWith("log_level: warning", "log_level: loud"), Contains("e1.yaml:8:12: 'loud', expected debug"));
    CHECK_THAT(findingsWith("1500ms", "1500"), Contains("e1.yaml:9:20: '1500', expected a whole number and one of us"));
    CHECK_THAT(findingsWith("1500ms", "99999999999d"), Contains("expected at most"));
    CHECK_THAT(findingsWith("8KiB", "8 KiB"), Contains("'8 KiB', expected a whole number and one of B"));
    CHECK_THAT(findingsWith("127.0.1.2:8080", "localhost:80"), Contains("e1.yaml:4:73: 'localhost:80', expected"));
    CHECK_THAT(findingsWith("127.0.1.2:8081", "127.0.1.1:8081"), Contains("the address 127.0.1.1:8081 appears twice"));
    CHECK_THAT(findingsWith("vm: e2", "vm: e1"), Contains("the VM 'e1' appears twice"));
    CHECK_THAT(findingsWith("vm: e1\nvms", "vm: e3\nvms"), Contains("e1.yaml:1:5: 'e3' is not in 'vms'"));
    CHECK_THAT(findingsWith("replica: true", "replica: yes"), Contains("'yes', expected true or false"));
    CHECK_THAT(findingsWith(", replica: true", ""), Contains("0 replicas, expected 1 to 7"));
    CHECK_THAT(findingsWith("data_folder: state/e1\n", ""), Contains("no 'data_folder' for a replica"));
    CHECK_THAT(findingsWith("shared_key_file: key", "data_folder: other"), Contains("'data_folder' appears twice"));
}

TEST_CASE_METHOD(settings_yaml_fixture, "settings_yaml.several_invalid_values.are_reported_together_in_order")
{
    finding_list findings;
    REQUIRE_FALSE(parseSettings("vm: [e1]\nvms: none\ncolour: red\n", "e1.yaml", findings).ok());
    REQUIRE(findings.items().size() >= 4);
    REQUIRE(findings.items().front().position.line <= findings.items().back().position.line);
}

TEST_CASE_METHOD(settings_yaml_fixture, "settings_yaml.malformed_or_oversized_text.is_rejected")
{
    using Catch::Matchers::Contains;
    const auto findingsOf = [](const std::string& text) {
        finding_list findings;
        REQUIRE_FALSE(parseSettings(text, "e1.yaml", findings).ok());
        return findings.format();
    };
    CHECK_THAT(findingsOf(std::string(10'000, '[')), Contains("nested too deeply"));
    CHECK_THAT(findingsOf(std::string(10'000, '{')), Contains("nested too deeply"));
    CHECK_THAT(findingsOf("a: &x [1]\nb: *x\n"), Contains("an anchor"));
    CHECK_THAT(findingsOf("vm: !!binary x\n"), Contains("the tag"));
    CHECK_THAT(findingsOf(""), Contains("an empty file"));
    CHECK_THAT(findingsOf("vm: e1\n---\nvm: e2\n"), Contains("more than one document"));
    CHECK_THAT(findingsOf("vm: [e1\n"), Contains("invalid YAML"));
    CHECK_THAT(findingsOf(std::string("\0\xff\xfe", 3)), Contains("e1.yaml"));
    CHECK_THAT(findingsOf(std::string(maximumYamlBytes + 1, 'x')), Contains("bytes of YAML"));
    std::string manyKeys;
    for (int i = 0; i < 1000; ++i)
        manyKeys += "k" + std::to_string(i) + ": 1\n";
    CHECK_THAT(findingsOf(manyKeys), Contains("too many keys"));
    for (std::size_t size = 1; size < validSettings.size(); ++size) {
        finding_list findings;
        const auto result = parseSettings(validSettings.substr(0, size), "e1.yaml", findings);
        CHECK(result.ok() == findings.empty());
    }
}

} // namespace plantainlatch
