#pragma once

/** \file
 * Strict conversion of a YAML tree to typed values; each error becomes a finding with its text position.
 */

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "codec/yaml_node.h"
#include "core/clock.h"
#include "core/strong_id.h"
#include "core/units.h"
#include "model/address.h"

namespace plantainlatch {

/** These overloads set `value` and return true, or add a finding and return false. */
bool readYaml(const yaml_node& node, std::string& value, finding_list& findings);
bool readYaml(const yaml_node& node, bool& value, finding_list& findings);
bool readYaml(const yaml_node& node, std::uint32_t& value, finding_list& findings);
bool readYaml(const yaml_node& node, std::uint64_t& value, finding_list& findings);
bool readYaml(const yaml_node& node, duration& value, finding_list& findings);
bool readYaml(const yaml_node& node, byte_count& value, finding_list& findings);
bool readYaml(const yaml_node& node, bytes_per_second& value, finding_list& findings);
bool readYaml(const yaml_node& node, network_address& value, finding_list& findings);

/** Reads a name: 1 to 64 letters, digits, hyphens, underscores and dots. */
bool readYamlName(const yaml_node& node, std::string& value, finding_list& findings);

template <typename Tag> bool readYaml(const yaml_node& node, strong_name<Tag>& value, finding_list& findings)
{
    std::string name;
    if (!readYamlName(node, name, findings))
        return false;
    value = strong_name<Tag>(std::move(name));
    return true;
}

template <typename Tag> bool readYaml(const yaml_node& node, strong_number<Tag>& value, finding_list& findings)
{
    std::uint64_t number = 0;
    if (!readYaml(node, number, findings))
        return false;
    value = strong_number<Tag>(number);
    return true;
}

/** The items of a list. A node that is not a list adds a finding and has no items. */
const std::vector<yaml_node>& yamlItems(const yaml_node& node, finding_list& findings);

template <typename Value> bool readYaml(const yaml_node& node, std::vector<Value>& values, finding_list& findings)
{
    bool valid = node.type == yaml_node::kind::List;
    for (const yaml_node& item : yamlItems(node, findings))
        valid = readYaml(item, values.emplace_back(), findings) && valid;
    return valid;
}

/** Reads the fields of one map. finish() reports all keys that were not looked up as unknown. */
class yaml_map_reader {
public:
    /** A node that is not a map adds one finding; its fields then count as missing without further findings. */
    yaml_map_reader(const yaml_node& node, finding_list& findings);

    /** The value of a key, or null. Marks the key as known. */
    const yaml_node* find(const std::string& key);

    /** Reads the value of a required key; a missing key adds a finding. */
    template <typename Value> bool require(const std::string& key, Value& value)
    {
        const yaml_node* node = find(key);
        if (node != nullptr)
            return readYaml(*node, value, m_findings);
        if (m_isMap)
            m_findings.add(m_node.position, absl::StrCat("no '", key, "'"), absl::StrCat("a map with '", key, "'"));
        return false;
    }

    /** Reads the value of a required key, which must be above 0. */
    template <typename Number> bool requirePositive(const std::string& key, Number& value)
    {
        if (!require(key, value))
            return false;
        if (!(value == Number {}))
            return true;
        m_findings.add(find(key)->position, absl::StrCat("'", key, "' is 0"), "more than 0");
        return false;
    }

    /** Reads the value of an optional key; false if it is missing or invalid. Only an invalid value adds a finding. */
    template <typename Value> bool readOptional(const std::string& key, Value& value)
    {
        const yaml_node* node = find(key);
        return node != nullptr && readYaml(*node, value, m_findings);
    }

    /** Adds a finding for each unknown key. */
    void finish();

private:
    const yaml_node& m_node;
    finding_list& m_findings;
    bool m_isMap;
    std::set<std::string> m_known;
};

} // namespace plantainlatch
