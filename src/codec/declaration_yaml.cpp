#include "codec/declaration_yaml.h"

#include <algorithm>
#include <set>

#include "codec/yaml_reader.h"

namespace plantainlatch {

namespace {

    constexpr std::uint32_t maximumPercent = 100;
    constexpr std::size_t maximumNoteBytes = 1000;

    /** Which fields of a definition the text must have. */
    enum class detail_level {
        Full,
        /** Only the fields that identify the definition, as in the list of withdrawn ones. */
        KeyOnly,
    };

    void checkPercent(yaml_map_reader& reader, const std::string& key, std::uint32_t value, finding_list& findings)
    {
        if (value > maximumPercent)
            findings.add(reader.find(key)->position, absl::StrCat("'", key, "' is ", value), "1 to 100");
    }

    std::string read(yaml_map_reader& reader, region_definition& region, detail_level detail, finding_list& findings)
    {
        reader.require("id", region.id);
        if (detail == detail_level::Full && reader.require("failure_domains", region.failureDomains)) {
            const std::set<failure_domain_id> distinct(region.failureDomains.begin(), region.failureDomains.end());
            if (distinct.empty() || distinct.size() != region.failureDomains.size())
                findings.add(reader.find("failure_domains")->position, "an empty list or a duplicate failure domain",
                    "at least one, each once");
        }
        return region.id.value();
    }

    std::string read(yaml_map_reader& reader, link_definition& link, detail_level detail, finding_list& findings)
    {
        std::vector<region_id> ends;
        if (reader.require("between", ends)) {
            if (ends.size() == 2 && ends[0] != ends[1]) {
                link.left = std::min(ends[0], ends[1]);
                link.right = std::max(ends[0], ends[1]);
            } else {
                findings.add(reader.find("between")->position, "not a pair of regions", "two different regions");
            }
        }
        if (detail == detail_level::Full)
            reader.requirePositive("budget", link.budget);
        return absl::StrCat(link.left.value(), " ", link.right.value());
    }

    route_rule readRoute(const yaml_node& node, finding_list& findings)
    {
        route_rule rule;
        yaml_map_reader reader(node, findings);
        const bool hasMethod = reader.require("method", rule.method);
        const bool isToken = !rule.method.empty()
            && std::all_of(
                rule.method.begin(), rule.method.end(), [](char letter) { return letter >= 'A' && letter <= 'Z'; });
        if (hasMethod && !isToken)
            findings.add(reader.find("method")->position, absl::StrCat("'", rule.method, "'"), "a method such as POST");
        if (reader.require("path", rule.pathPrefix) && !rule.pathPrefix.starts_with('/'))
            findings.add(
                reader.find("path")->position, absl::StrCat("'", rule.pathPrefix, "'"), "a path that begins with /");
        reader.require("idempotent", rule.idempotent);
        reader.finish();
        return rule;
    }

    void readRoutes(const yaml_node& list, service_definition& service, finding_list& findings)
    {
        std::set<std::pair<std::string, std::string>> seen;
        for (const yaml_node& item : yamlItems(list, findings)) {
            const route_rule rule = readRoute(item, findings);
            if (!seen.emplace(rule.method, rule.pathPrefix).second)
                findings.add(item.position, "a duplicate route", "each method and path once");
            service.routes.push_back(rule);
        }
    }

    std::string read(yaml_map_reader& reader, service_definition& service, detail_level detail, finding_list& findings)
    {
        reader.require("id", service.id);
        if (detail == detail_level::KeyOnly)
            return service.id.value();
        reader.requirePositive("slots", service.slots);
        reader.requirePositive("connections", service.connections);
        const bool hasDefault = reader.requirePositive("default_deadline", service.defaultDeadline);
        const bool hasMaximum = reader.requirePositive("maximum_deadline", service.maximumDeadline);
        if (hasDefault && hasMaximum && service.defaultDeadline > service.maximumDeadline)
            findings.add(reader.find("default_deadline")->position, "'default_deadline' is above 'maximum_deadline'",
                "at most 'maximum_deadline'");
        reader.requirePositive("maximum_body", service.maximumBody);
        reader.requirePositive("key_retention", service.keyRetention);
        if (const yaml_node* routes = reader.find("routes"))
            readRoutes(*routes, service, findings);
        return service.id.value();
    }

    std::string read(yaml_map_reader& reader, share_definition& share, detail_level detail, finding_list&)
    {
        reader.require("service", share.service);
        reader.require("failure_domain", share.failureDomain);
        if (detail == detail_level::Full)
            reader.require("weight", share.weight);
        return absl::StrCat(share.service.value(), " ", share.failureDomain.value());
    }

    std::string read(yaml_map_reader& reader, upstream_definition& upstream, detail_level detail, finding_list&)
    {
        reader.require("id", upstream.id);
        if (detail == detail_level::KeyOnly)
            return upstream.id.value();
        reader.require("service", upstream.service);
        reader.require("failure_domain", upstream.failureDomain);
        slot_count slots;
        if (reader.find("slots") != nullptr && reader.requirePositive("slots", slots))
            upstream.slots = slots;
        return upstream.id.value();
    }

    std::string read(yaml_map_reader& reader, shift_definition& shift, detail_level detail, finding_list& findings)
    {
        reader.require("id", shift.id);
        if (detail == detail_level::KeyOnly)
            return shift.id.value();
        reader.require("service", shift.service);
        const bool hasFrom = reader.require("from", shift.from);
        const bool hasTo = reader.require("to", shift.to);
        if (hasFrom && hasTo && shift.from == shift.to)
            findings.add(reader.find("to")->position, "'to' is the same as 'from'", "another failure domain");
        if (reader.requirePositive("percent", shift.percent))
            checkPercent(reader, "percent", shift.percent, findings);
        reader.requirePositive("cap_per_second", shift.capPerSecond);
        if (reader.requirePositive("step_percent", shift.stepPercent))
            checkPercent(reader, "step_percent", shift.stepPercent, findings);
        reader.requirePositive("step_interval", shift.stepInterval);
        return shift.id.value();
    }

    /** Reads the lists of changes to one kind of definition; a definition may appear only once in all of them. */
    template <typename Definition> class changes_reader {
    public:
        changes_reader(definition_changes<Definition>& changes, finding_list& findings)
            : m_changes(changes)
            , m_findings(findings)
        {
        }

        void read(const yaml_node& node)
        {
            yaml_map_reader reader(node, m_findings);
            readList(reader.find("add"), m_changes.added, detail_level::Full);
            readList(reader.find("change"), m_changes.changed, detail_level::Full);
            readList(reader.find("withdraw"), m_changes.withdrawn, detail_level::KeyOnly);
            reader.finish();
        }

    private:
        void readList(const yaml_node* list, std::vector<declared<Definition>>& values, detail_level detail)
        {
            if (list == nullptr)
                return;
            for (const yaml_node& item : yamlItems(*list, m_findings))
                values.push_back(readOne(item, detail));
        }

        declared<Definition> readOne(const yaml_node& node, detail_level detail)
        {
            declared<Definition> result;
            result.position = node.position;
            yaml_map_reader reader(node, m_findings);
            const std::string name = plantainlatch::read(reader, result.value, detail, m_findings);
            reader.finish();
            if (node.type == yaml_node::kind::Map && !m_names.insert(name).second)
                m_findings.add(node.position, absl::StrCat("'", name, "' appears twice"), "each once");
            return result;
        }

        definition_changes<Definition>& m_changes;
        finding_list& m_findings;
        std::set<std::string> m_names;
    };

    template <typename Definition>
    void readChanges(yaml_map_reader& reader, const std::string& key, definition_changes<Definition>& changes,
        finding_list& findings)
    {
        if (const yaml_node* node = reader.find(key))
            changes_reader<Definition>(changes, findings).read(*node);
    }

    void readRisks(const yaml_node& list, std::vector<accepted_risk>& risks, finding_list& findings)
    {
        for (const yaml_node& item : yamlItems(list, findings)) {
            if (item.text == "region-overload")
                risks.push_back(accepted_risk::RegionOverload);
            else if (item.text == "no-upstream")
                risks.push_back(accepted_risk::NoUpstream);
            else
                findings.add(
                    item.position, absl::StrCat("the risk '", item.text, "'"), "region-overload or no-upstream");
        }
    }

    void readNumbers(yaml_map_reader& reader, declaration& result, finding_list& findings)
    {
        const bool hasNumber = reader.requirePositive("number", result.number);
        const bool hasReplaced = reader.require("replaces", result.replaces);
        if (hasNumber && hasReplaced && result.replaces >= result.number)
            findings.add(reader.find("replaces")->position, "'replaces' is not below 'number'", "a lower number");
        if (reader.readOptional("note", result.note) && result.note.size() > maximumNoteBytes)
            findings.add(reader.find("note")->position, "the note is too long",
                absl::StrCat("at most ", maximumNoteBytes, " bytes"));
    }

    bool changesNothing(const declaration& value)
    {
        return value.regions.empty() && value.links.empty() && value.services.empty() && value.shares.empty()
            && value.upstreams.empty() && value.shifts.empty();
    }

    declaration readDeclaration(const yaml_node& root, finding_list& findings)
    {
        declaration result;
        yaml_map_reader reader(root, findings);
        readNumbers(reader, result, findings);
        if (const yaml_node* risks = reader.find("accept_risks"))
            readRisks(*risks, result.acceptedRisks, findings);
        readChanges(reader, "regions", result.regions, findings);
        readChanges(reader, "links", result.links, findings);
        readChanges(reader, "services", result.services, findings);
        readChanges(reader, "shares", result.shares, findings);
        readChanges(reader, "upstreams", result.upstreams, findings);
        readChanges(reader, "shifts", result.shifts, findings);
        reader.finish();
        if (findings.empty() && changesNothing(result))
            findings.add(root.position, "a declaration without a change", "a definition to add, change or withdraw");
        return result;
    }

} // namespace

absl::StatusOr<declaration> parseDeclaration(
    const std::string& text, const std::string& fileName, finding_list& findings)
{
    finding_list found;
    const absl::StatusOr<yaml_node> root = parseYaml(text, fileName, found);
    declaration result;
    if (root.ok())
        result = readDeclaration(*root, found);
    findings.append(found);
    if (!found.empty())
        return found.toStatus();
    return result;
}

} // namespace plantainlatch
