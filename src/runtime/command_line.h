#pragma once

/** \file
 * A command's options as declared, and as given by a user.
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

/** One option; it takes a value unless `valueName` is empty. */
struct option_spec {
    std::string name;
    /** Stands for the value in the help text. */
    std::string valueName;
    std::string help;
    /** The value when the option is not given. */
    std::string defaultValue = {};
    bool repeated = false;
    bool required = false;
};

/** A command with its options. */
struct command_spec {
    std::string name;
    std::string summary;
    std::vector<option_spec> options;
    /** Stands for the arguments that are no options; a command without it takes none. */
    std::string argumentsName = {};
    /** Printed below the options. */
    std::string footer = {};
};

/** Given options and arguments. The readers of values are for options that the spec declares. */
class command_line {
public:
    /** InvalidArgument for unknown or missing options. `--help` is always known and makes nothing required. */
    static absl::StatusOr<command_line> parse(const command_spec& spec, const std::vector<std::string>& arguments);

    bool helpWanted() const { return m_helpWanted; }
    /** Whether the option was given. */
    bool given(const std::string& name) const;
    /** The last value, or the default. */
    std::string text(const std::string& name) const;
    /** All values in the order given. */
    std::vector<std::string> texts(const std::string& name) const;
    const std::vector<std::string>& arguments() const { return m_arguments; }

    /** These collect the first error in `status`, which must be OK for the value to count. */
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

/** The help text of a command. */
std::string commandHelp(const command_spec& spec);

} // namespace plantainlatch
