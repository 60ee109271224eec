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

    constexpr std::size_t maximumNameLength = 64;
    constexpr std::uint32_t maximumSlots = 10'000;
    constexpr std::uint32_t maximumConnections = 1'000'000;

    bool isNameCharacter(char character)
    {
        return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
            || (character >= '0' && character <= '9') || character == '-' || character == '_' || character == '.';
    }

    bool isName(const std::string& text)
    {
        return !text.empty() && text.size() <= maximumNameLength
            && std::all_of(text.begin(), text.end(), isNameCharacter);
    }

    /** Reads the fields of one JSON object; each missing or invalid field adds a finding. */
    class object_reader {
    public:
        object_reader(const std::string& text, finding_list& findings)
            : m_value(json::parse(text, nullptr, false))
            , m_findings(findings)
        {
            if (!m_value.is_object())
                m_findings.add({}, "the body is not a JSON object", "an object");
        }

        std::string name(const char* field)
        {
            const json* value = require(field);
            if (value == nullptr)
                return {};
            if (value->is_string() && isName(value->get<std::string>()))
                return value->get<std::string>();
            reportInvalid(field, "1 to 64 letters, digits, hyphens, underscores and dots");
            return {};
        }

        std::string text(const char* field)
        {
            const json* value = require(field);
            if (value == nullptr)
                return {};
            if (value->is_string())
                return value->get<std::string>();
            reportInvalid(field, "a string");
            return {};
        }

        std::uint64_t number(const char* field, std::uint64_t minimum, std::uint64_t maximum)
        {
            const json* value = require(field);
            if (value == nullptr)
                return 0;
            if (value->is_number_unsigned()) {
                const auto number = value->get<std::uint64_t>();
                if (number >= minimum && number <= maximum)
                    return number;
            }
            reportInvalid(field, absl::StrCat("a whole number from ", minimum, " to ", maximum));
            return 0;
        }

        bool flag(const char* field, std::optional<bool> defaultValue)
        {
            if (defaultValue && !m_value.contains(field))
                return *defaultValue;
            const json* value = require(field);
            if (value != nullptr && value->is_boolean())
                return value->get<bool>();
            if (value != nullptr)
                reportInvalid(field, "true or false");
            return false;
        }

        /** Adds a finding for each field that is not in `known`. */
        void finish(const std::set<std::string>& known)
        {
            if (!m_value.is_object())
                return;
            for (const auto& [key, value] : m_value.items()) {
                if (!known.contains(key))
                    m_findings.add({}, absl::StrCat("unknown field '", key, "'"), "only the documented fields");
            }
        }

        void reportInvalid(const char* field, const std::string& expected)
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
        reader.reportInvalid("address", "a numeric address with a port, such as 192.0.2.1:8080");
    result.region = region_id(reader.name("region"));
    result.failureDomain = failure_domain_id(reader.name("failure_domain"));
    result.slots = slot_count(reader.number("slots", 1, maximumSlots));
    result.connections = static_cast<std::uint32_t>(reader.number("connections", 1, maximumConnections));
    reader.finish({ "id", "generation", "service", "address", "region", "failure_domain", "slots", "connections" });
    if (!findings.empty())
        return findings.toStatus();
    return result;
}

absl::StatusOr<drain_request> parseDrainJson(const std::string& text, finding_list& findings)
{
    object_reader reader(text, findings);
    drain_request result;
    const std::string kind = reader.name("kind");
    const std::optional<drain_kind> known = drainKind(kind);
    if (known)
        result.target.kind = *known;
    else if (!kind.empty())
        reader.reportInvalid("kind", "vm, upstream, failure_domain or region");
    result.target.name = reader.name("name");
    result.draining = reader.flag("draining", std::nullopt);
    result.force = reader.flag("force", false);
    reader.finish({ "kind", "name", "draining", "force" });
    if (!findings.empty())
        return findings.toStatus();
    return result;
}

} // namespace plantainlatch
