#pragma once

/** \file
 * A parsed line of a VM's log.
 */

#include <cstdint>
#include <map>
#include <string>

namespace plantainlatch {

/** A parsed line of a VM's log. */
struct log_line {
    /** The timestamp as written; timestamps with the same time zone offset sort as text. */
    std::string time;
    std::string vm;
    std::string service;
    /** The event name. */
    std::string what;
    std::map<std::string, std::string> fields;
    /** The position among all lines read; orders lines with equal timestamps. */
    std::uint64_t position = 0;

    /** The value of a field; empty if the line does not have it. */
    std::string field(const std::string& name) const
    {
        const auto found = fields.find(name);
        return found != fields.end() ? found->second : std::string();
    }
};

} // namespace plantainlatch
