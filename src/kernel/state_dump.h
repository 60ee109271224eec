#pragma once

/** \file
 * A tree of typed values in which services report their state for inspection; the codec encodes it as JSON.
 */

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/clock.h"

namespace plantainlatch {

/** A named node: a value, or children if there are any. */
struct state_dump {
    using scalar = std::variant<std::monostate, bool, std::int64_t, double, std::string>;

    std::string name;
    scalar value;
    std::vector<state_dump> children;
    /** Whether the children form a list, in which their names are ignored. */
    bool isList = false;

    state_dump() = default;
    explicit state_dump(std::string nodeName)
        : name(std::move(nodeName))
    {
    }

    state_dump& add(std::string childName, std::string text);
    state_dump& add(std::string childName, const char* text);
    state_dump& add(std::string childName, bool flag);
    state_dump& add(std::string childName, std::int64_t number);
    state_dump& add(std::string childName, std::uint64_t number);
    state_dump& add(std::string childName, int number);
    state_dump& add(std::string childName, double number);
    /** Adds the time in milliseconds, with `_ms` appended to the name. */
    state_dump& add(std::string childName, duration span);

    /** Adds an empty object and returns it; the reference is valid until the next addition to this node. */
    state_dump& addObject(std::string childName);
    /** Adds an empty list and returns it; the reference is valid until the next addition to this node. */
    state_dump& addList(std::string childName);
};

} // namespace plantainlatch
