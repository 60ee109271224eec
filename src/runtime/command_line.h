#pragma once

/** \file
 * Parses the command line of a subcommand or tool, given a description of its options.
 */

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "core/clock.h"
#include "model/address.h"

namespace plantainlatch {

/** An option of a command. It takes a value unless `valueName` is empty. */
struct option_spec {
    std::string name;
    /** The placeholder for the value in the help text. */
    std::string valueName;
    std::string help;
    /** The value if the option is not given. */
    std::string defaultValue = {};
    bool repeated = false;
    bool required = false;
};

/** A command with its options, for parsing and for the help text. */
struct command_spec {
    std::string name;
    std::string summary;
    std::vector<option_spec> options;
    /** The placeholder for positional arguments in the help text; if empty, the command takes none. */
    std::string argumentsName = {};
    /** Printed below the options. */
    std::string footer = {};
};

/** The parsed options and positional arguments. Values may be read only for options that the spec declares. */
class command_line {
public:
    /** InvalidArgument for unknown, repeated or missing options. `--help` is always accepted; if it is given, required
     * options may be missing. */
    static absl::StatusOr<command_line> parse(const command_spec& spec, const std::vector<std::string>& arguments);

    bool helpWanted() const { return m_helpWanted; }
    bool given(const std::string& name) const;
    /** The last given value, or the default. */
    std::string text(const std::string& name) const;
    /** All given values in their order; empty if the option was not given, even if it has a default. */
    std::vector<std::string> texts(const std::string& name) const;
    const std::vector<std::string>& arguments() const { return m_arguments; }

    /** These parse the values of an option. An invalid value sets `status` unless it holds an earlier error; the
     * result is valid only if `status` is OK. */
    std::uint64_t number(const std::string& name, absl::Status& status) const;
    double decimal(const std::string& name, absl::Status& status) const;
    duration span(const std::string& name, absl::Status& status) const;
    std::vector<network_address> addresses(const std::string& name, absl::Status& status) const;

private:
    bool m_helpWanted = false;
    std::map<std::string, std::vector<std::string>> m_values;
    std::map<std::string, std::string> m_defaults;
    std::vector<std::string> m_arguments;
};

std::string commandHelp(const command_spec& spec);

} // namespace plantainlatch
