#include "codec/json_requests.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <set>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

namespace plantainlatch {

namespace {

    using json = nlohmann::json;

    constexpr std::size_t largestName = 64;
    constexpr std::uint32_t largestSlots = 10'000;
    constexpr std::uint32_t largestConnections = 1'000'000;

    bool isNameLetter(char letter)
    {
        return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') || (letter >= '0' && letter <= '9')
            || letter == '-' || letter == '_' || letter == '.';
    }

    bool isName(const std::string& text)
    {
        return !text.empty() && text.size() <= largestName && std::all_of(text.begin(), text.end(), isNameLetter);
    }

    /** Reads the fields of one object; everything wrong becomes a finding. */
    class object_reader {
    public:
        object_reader(const std::string& text, finding_list& findings)
            : m_value(json::parse(text, nullptr, false))
            , m_findings(findings)
        {
            if (!m_value.is_object())
                m_findings.add({}, "the body is no JSON object", "an object");
        }

        std::string name(const char* field)
        {
            const json* value = require(field);
            if (value == nullptr)
                return {};
            if (value->is_string() && isName(value->get<std::string>()))
                return value->get<std::string>();
            refuse(field, "1 to 64 letters, digits, hyphens, underscores and dots");
            return {};
        }

        std::string text(const char* field)
        {
            const json* value = require(field);
            if (value == nullptr)
                return {};
            if (value->is_string())
                return value->get<std::string>();
            refuse(field, "a text");
            return {};
        }

        std::uint64_t number(const char* field, std::uint64_t least, std::uint64_t most)
        {
            const json* value = require(field);
            if (value == nullptr)
                return 0;
            if (value->is_number_unsigned()) {
                const auto number = value->get<std::uint64_t>();
                if (number >= least && number <= most)
                    return number;
            }
            refuse(field, absl::StrCat("a whole number from ", least, " to ", most));
            return 0;
        }

        bool flag(const char* field, std::optional<bool> otherwise)
        {
            if (otherwise && !m_value.contains(field))
                return *otherwise;
            const json* value = require(field);
            if (value != nullptr && value->is_boolean())
                return value->get<bool>();
            if (value != nullptr)
                refuse(field, "true or false");
            return false;
        }

        /** Reports the fields that were never asked for. */
        void finish(const std::set<std::string>& known)
        {
            if (!m_value.is_object())
                return;
            for (const auto& [key, value] : m_value.items()) {
                if (!known.contains(key))
                    m_findings.add({}, absl::StrCat("unknown field '", key, "'"), "only the documented fields");
            }
        }

        void refuse(const char* field, const std::string& expected)
        {
            m_findings.add({}, absl::StrCat("field '", field, "' has no valid value"), expected);
        }

    private:
        const json* require(const char* field)
        {
            if (!m_value.is_object())
                return nullptr;
            const auto found = m_value.find(field);
            if (found != m_value.end())
                return &*found;
            m_findings.add({}, absl::StrCat("no field '", field, "'"), "that field");
            return nullptr;
        }

        json m_value;
        finding_list& m_findings;
    };

    std::optional<drain_kind> drainKind(const std::string& name)
    {
        if (name == "vm")
            return drain_kind::Vm;
        if (name == "upstream")
            return drain_kind::Upstream;
        if (name == "failure_domain")
            return drain_kind::FailureDomain;
        if (name == "region")
            return drain_kind::Region;
        return std::nullopt;
    }

} // namespace

absl::StatusOr<upstream_announcement> parseAnnouncementJson(const std::string& text, finding_list& findings)
{
    object_reader reader(text, findings);
    upstream_announcement result;
    result.id = upstream_id(reader.name("id"));
    result.generation = upstream_generation(reader.number("generation", 0, std::numeric_limits<std::int64_t>::max()));
    result.service = service_id(reader.name("service"));
    const std::string address = reader.text("address");
    const absl::StatusOr<network_address> parsed = parseAddress(address);
    if (parsed.ok())
        result.address = *parsed;
    else if (!address.empty())
        reader.refuse("address", "a numeric address with a port, such as 192.0.2.1:8080");
    result.region = region_id(reader.name("region"));
    result.failureDomain = failure_domain_id(reader.name("failure_domain"));
    result.slots = slot_count(reader.number("slots", 1, largestSlots));
    result.connections = static_cast<std::uint32_t>(reader.number("connections", 1, largestConnections));
    reader.finish({ "id", "generation", "service", "address", "region", "failure_domain", "slots", "connections" });
    if (!findings.empty())
        return findings.toStatus();
    return result;
}

absl::StatusOr<drain_order> parseDrainJson(const std::string& text, finding_list& findings)
{
    object_reader reader(text, findings);
    drain_order result;
    const std::string kind = reader.name("kind");
    const std::optional<drain_kind> known = drainKind(kind);
    if (known)
        result.target.kind = *known;
    else if (!kind.empty())
        reader.refuse("kind", "vm, upstream, failure_domain or region");
    result.target.name = reader.name("name");
    result.draining = reader.flag("draining", std::nullopt);
    result.force = reader.flag("force", false);
    reader.finish({ "kind", "name", "draining", "force" });
    if (!findings.empty())
        return findings.toStatus();
    return result;
}

} // namespace plantainlatch
