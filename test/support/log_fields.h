#pragma once

/** \file
 * Reads the fields of log events in tests.
 */

#include <algorithm>
#include <string>
#include <string_view>

#include "kernel/hooks.h"

namespace plantainlatch {

/** The value of a field, or empty if the event has none of that name. */
inline std::string fieldOf(const log_event& event, std::string_view name)
{
    const auto found = std::find_if(
        event.fields.begin(), event.fields.end(), [name](const log_field& field) { return field.name == name; });
    return found != event.fields.end() ? found->value : std::string();
}

} // namespace plantainlatch
