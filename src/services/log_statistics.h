#pragma once

/** \file
 * Counts log events by kind, whether or not their lines were written.
 */

#include <cstdint>
#include <map>
#include <string>

#include "kernel/hooks.h"

namespace plantainlatch {

/** Also counts the lines that were not written, because of the rate limit or a slow reader. */
class log_statistics {
public:
    /** Events with equal values of these fields are counted together. */
    struct event_kind {
        std::string service;
        std::string what;
        /** The failure, reason or end of the event; empty if the event has none of these fields. */
        std::string detail;
        friend auto operator<=>(const event_kind&, const event_kind&) = default;
    };

    void note(const log_event& event);
    /** Counts a line that was suppressed by the rate limit of its kind. */
    void countSuppressed() { ++m_suppressed; }
    /** Sets the total number of lines that were dropped because the reader was too slow. */
    void setLost(std::uint64_t lines) { m_lost = lines; }

    const std::map<event_kind, std::uint64_t>& events() const { return m_events; }
    std::uint64_t suppressed() const { return m_suppressed; }
    std::uint64_t lost() const { return m_lost; }

private:
    std::map<event_kind, std::uint64_t> m_events;
    std::uint64_t m_suppressed = 0;
    std::uint64_t m_lost = 0;
};

} // namespace plantainlatch
