#include "runtime/command_line.h"

#include <cxxopts.hpp>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "codec/unit_text.h"

namespace plantainlatch {

namespace {

    constexpr std::size_t helpWidth = 110;

    std::string helpOf(const option_spec& option)
    {
        if (option.defaultValue.empty())
            return option.help;
        return absl::StrCat(option.help, " (default: ", option.defaultValue, ")");
    }

    cxxopts::Options makeOptions(const command_spec& spec)
    {
        cxxopts::Options options(spec.name, spec.summary);
        options.set_width(helpWidth);
        options.custom_help(spec.argumentsName.empty() ? "[OPTION...]" : "[OPTION...] " + spec.argumentsName);
        for (const option_spec& option : spec.options) {
            if (option.valueName.empty())
                options.add_options()(option.name, option.help);
            else
                options.add_options()(option.name, helpOf(option), cxxopts::value<std::string>(), option.valueName);
        }
        options.add_options()("help", "print this help");
        return options;
    }

    void recordFirstError(absl::Status& status, const std::string& option, const std::string& expected)
    {
        if (status.ok())
            status = absl::InvalidArgumentError(absl::StrCat("--", option, " takes ", expected));
    }

    absl::Status checkRequired(const command_spec& spec, const command_line& line)
    {
        for (const option_spec& option : spec.options) {
            if (option.required && !line.given(option.name))
                return absl::InvalidArgumentError(
                    absl::StrCat("--", option.name, " ", option.valueName, " is missing"));
        }
        if (spec.argumentsName.empty() && !line.arguments().empty())
            return absl::InvalidArgumentError(absl::StrCat("'", line.arguments().front(), "' is not expected"));
        return absl::OkStatus();
    }

} // namespace

absl::StatusOr<command_line> command_line::parse(const command_spec& spec, const std::vector<std::string>& arguments)
{
    cxxopts::Options options = makeOptions(spec);
    std::vector<const char*> pointers { spec.name.c_str() };
    for (const std::string& argument : arguments)
        pointers.push_back(argument.c_str());
    command_line line;
    try {
        const cxxopts::ParseResult result = options.parse(static_cast<int>(pointers.size()), pointers.data());
        for (const cxxopts::KeyValue& item : result.arguments())
            line.m_values[item.key()].push_back(item.value());
        line.m_arguments = result.unmatched();
    } catch (const cxxopts::exceptions::exception& error) {
        return absl::InvalidArgumentError(error.what());
    }
    line.m_helpWanted = line.m_values.contains("help");
    for (const option_spec& option : spec.options) {
        line.m_defaults[option.name] = option.defaultValue;
        if (!option.repeated && line.texts(option.name).size() > 1)
            return absl::InvalidArgumentError(absl::StrCat("--", option.name, " is given twice"));
    }
    if (line.m_helpWanted)
        return line;
    if (absl::Status status = checkRequired(spec, line); !status.ok())
        return status;
    return line;
}

bool command_line::given(const std::string& name) const { return m_values.contains(name); }

std::string command_line::text(const std::string& name) const
{
    const auto found = m_values.find(name);
    if (found != m_values.end())
        return found->second.back();
    const auto byDefault = m_defaults.find(name);
    return byDefault != m_defaults.end() ? byDefault->second : std::string();
}

std::vector<std::string> command_line::texts(const std::string& name) const
{
    const auto found = m_values.find(name);
    return found != m_values.end() ? found->second : std::vector<std::string> {};
}

std::uint64_t command_line::number(const std::string& name, absl::Status& status) const
{
    std::uint64_t value = 0;
    if (!absl::SimpleAtoi(text(name), &value))
        recordFirstError(status, name, "a whole number");
    return value;
}

double command_line::decimal(const std::string& name, absl::Status& status) const
{
    double value = 0;
    if (!absl::SimpleAtod(text(name), &value) || !(value >= 0))
        recordFirstError(status, name, "a number that is 0 or more");
    return value;
}

duration command_line::span(const std::string& name, absl::Status& status) const
{
    const absl::StatusOr<duration> value = parseDuration(text(name));
    if (value.ok())
        return *value;
    recordFirstError(status, name, std::string(value.status().message()));
    return {};
}

std::vector<network_address> command_line::addresses(const std::string& name, absl::Status& status) const
{
    std::vector<network_address> result;
    for (const std::string& item : texts(name)) {
        const absl::StatusOr<network_address> address = parseAddress(item);
        if (address.ok())
            result.push_back(*address);
        else
            recordFirstError(status, name, "a numeric address with a port, such as 192.0.2.1:8080");
    }
    return result;
}

std::string commandHelp(const command_spec& spec)
{
    std::string text = makeOptions(spec).help();
    if (!spec.footer.empty())
        absl::StrAppend(&text, "\n", spec.footer, "\n");
    return text;
}

} // namespace plantainlatch
