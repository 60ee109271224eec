#pragma once

/** \file
 * How often each kind of decision was logged, whether or not its line was written.
 */

#include <cstdint>
#include <map>
#include <string>

#include "kernel/hooks.h"

namespace plantainlatch {

/** Counts events by kind; the lines that a limit or a slow reader cost are counted too. */
class log_statistics {
public:
    /** What is counted together. */
    struct event_kind {
        std::string service;
        std::string what;
        /** How it ended or why, for events that tell. */
        std::string detail;
        friend auto operator<=>(const event_kind&, const event_kind&) = default;
    };

    void note(const log_event& event);
    /** A line was not written, as its kind had reached its limit. */
    void noteLeftOut() { ++m_leftOut; }
    /** So many lines were lost so far, as nobody read them. */
    void setLost(std::uint64_t lines) { m_lost = lines; }

    const std::map<event_kind, std::uint64_t>& events() const { return m_events; }
    std::uint64_t leftOut() const { return m_leftOut; }
    std::uint64_t lost() const { return m_lost; }

private:
    std::map<event_kind, std::uint64_t> m_events;
    std::uint64_t m_leftOut = 0;
    std::uint64_t m_lost = 0;
};

} // namespace plantainlatch
