#pragma once

/** \file
 * A log line as it is read back.
 */

#include <cstdint>
#include <map>
#include <string>

namespace plantainlatch {

/** One line of a VM's log. */
struct log_line {
    /** As written; lines of one zone offset sort by it. */
    std::string time;
    std::string vm;
    std::string service;
    /** The kind of line. */
    std::string what;
    std::map<std::string, std::string> fields;
    /** Its position among all lines read, which breaks ties. */
    std::uint64_t position = 0;

    /** A field; empty without one. */
    std::string field(const std::string& name) const
    {
        const auto found = fields.find(name);
        return found != fields.end() ? found->second : std::string();
    }
};

} // namespace plantainlatch
