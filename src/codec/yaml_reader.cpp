#include "codec/yaml_reader.h"

#include <limits>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_join.h"
#include "codec/unit_text.h"

namespace plantainlatch {

namespace {

    constexpr std::size_t maximumNameLength = 64;
    constexpr std::size_t maximumQuotedLength = 40;

    std::string describe(const yaml_node& node)
    {
        switch (node.type) {
        case yaml_node::kind::Null:
            return "nothing";
        case yaml_node::kind::List:
            return "a list";
        case yaml_node::kind::Map:
            return "a map";
        case yaml_node::kind::Scalar:
            break;
        }
        if (node.text.size() > maximumQuotedLength)
            return absl::StrCat("'", node.text.substr(0, maximumQuotedLength), "...'");
        return absl::StrCat("'", node.text, "'");
    }

    bool addFinding(const yaml_node& node, const std::string& expected, finding_list& findings)
    {
        findings.add(node.position, describe(node), expected);
        return false;
    }

    bool isNameCharacter(char character)
    {
        return absl::ascii_isalnum(static_cast<unsigned char>(character)) || character == '-' || character == '_'
            || character == '.';
    }

    /** Reads a scalar with `parse`, whose error message says what was expected. */
    template <typename Value, typename Parser>
    bool readParsed(const yaml_node& node, Value& value, finding_list& findings, Parser parse)
    {
        const absl::StatusOr<Value> parsed = parse(node.text);
        if (node.type != yaml_node::kind::Scalar || !parsed.ok())
            return addFinding(node, std::string(parsed.status().message()), findings);
        value = *parsed;
        return true;
    }

    template <typename Number> bool readNumber(const yaml_node& node, Number& value, finding_list& findings)
    {
        Number parsed = 0;
        const bool digitsOnly = node.text.find_first_not_of("0123456789") == std::string::npos;
        if (node.type == yaml_node::kind::Scalar && digitsOnly && absl::SimpleAtoi(node.text, &parsed)) {
            value = parsed;
            return true;
        }
        return addFinding(node, absl::StrCat("a whole number up to ", std::numeric_limits<Number>::max()), findings);
    }

} // namespace

bool readYaml(const yaml_node& node, std::string& value, finding_list& findings)
{
    if (node.type != yaml_node::kind::Scalar)
        return addFinding(node, "a string", findings);
    value = node.text;
    return true;
}

bool readYaml(const yaml_node& node, bool& value, finding_list& findings)
{
    if (node.type != yaml_node::kind::Scalar || (node.text != "true" && node.text != "false"))
        return addFinding(node, "true or false", findings);
    value = node.text == "true";
    return true;
}

bool readYaml(const yaml_node& node, std::uint32_t& value, finding_list& findings)
{
    return readNumber(node, value, findings);
}

bool readYaml(const yaml_node& node, std::uint64_t& value, finding_list& findings)
{
    return readNumber(node, value, findings);
}

bool readYaml(const yaml_node& node, duration& value, finding_list& findings)
{
    return readParsed(node, value, findings, parseDuration);
}

bool readYaml(const yaml_node& node, byte_count& value, finding_list& findings)
{
    return readParsed(node, value, findings, parseSize);
}

bool readYaml(const yaml_node& node, bytes_per_second& value, finding_list& findings)
{
    return readParsed(node, value, findings, parseRate);
}

bool readYaml(const yaml_node& node, network_address& value, finding_list& findings)
{
    const absl::StatusOr<network_address> parsed = parseAddress(node.text);
    if (node.type != yaml_node::kind::Scalar || !parsed.ok())
        return addFinding(node, "a numeric address with a port, such as 192.0.2.1:8080", findings);
    value = *parsed;
    return true;
}

bool readYamlName(const yaml_node& node, std::string& value, finding_list& findings)
{
    bool valid = node.type == yaml_node::kind::Scalar && !node.text.empty() && node.text.size() <= maximumNameLength;
    for (const char character : node.text)
        valid = valid && isNameCharacter(character);
    if (!valid)
        return addFinding(node, "a name of 1 to 64 letters, digits, hyphens, underscores and dots", findings);
    value = node.text;
    return true;
}

const std::vector<yaml_node>& yamlItems(const yaml_node& node, finding_list& findings)
{
    if (node.type != yaml_node::kind::List)
        addFinding(node, "a list", findings);
    return node.items;
}

yaml_map_reader::yaml_map_reader(const yaml_node& node, finding_list& findings)
    : m_node(node)
    , m_findings(findings)
    , m_isMap(node.type == yaml_node::kind::Map)
{
    if (!m_isMap)
        addFinding(node, "a map", findings);
}

const yaml_node* yaml_map_reader::find(const std::string& key)
{
    m_known.insert(key);
    for (const yaml_field& field : m_node.fields) {
        if (field.key == key)
            return &field.value;
    }
    return nullptr;
}

void yaml_map_reader::finish()
{
    for (const yaml_field& field : m_node.fields) {
        if (!m_known.contains(field.key))
            m_findings.add(field.position, absl::StrCat("unknown key '", field.key, "'"),
                absl::StrCat("one of ", absl::StrJoin(m_known, ", ")));
    }
}

} // namespace plantainlatch
