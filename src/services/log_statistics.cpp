#include "services/log_statistics.h"

#include <algorithm>
#include <utility>

namespace plantainlatch {

namespace {

    /** Bounds the number of kinds; once it is reached, events of new kinds are counted without their detail. */
    constexpr std::size_t maximumKinds = 512;
    /** The fields that can be the detail of an event, in order of preference. */
    constexpr const char* detailFields[] = { "failure", "reason", "end" };

    std::string detailOf(const log_event& event)
    {
        for (const char* name : detailFields) {
            const auto found = std::find_if(event.fields.begin(), event.fields.end(),
                [name](const log_field& field) { return field.name == name; });
            if (found != event.fields.end())
                return found->value;
        }
        return {};
    }

} // namespace

void log_statistics::note(const log_event& event)
{
    event_kind kind { event.service, event.what, detailOf(event) };
    if (m_events.size() >= maximumKinds && !m_events.contains(kind))
        kind.detail.clear();
    ++m_events[std::move(kind)];
}

} // namespace plantainlatch
