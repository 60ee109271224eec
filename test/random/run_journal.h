#pragma once

/** \file
 * Records the events of one randomised run: a hash of all events, the latest lines, and the first violated invariant.
 */

#include <cstdint>
#include <deque>
#include <stdexcept>
#include <string>

#include "support/paused_runtime.h"

namespace plantainlatch {

/** Thrown when an invariant is violated; ends the run. */
class run_violation : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/** Collects the events of a run; equal seeds give equal hashes. */
class run_journal {
public:
    explicit run_journal(paused_runtime& runtime)
        : m_runtime(runtime)
    {
    }

    /** Hashes an event and keeps its line among the latest. */
    void note(const std::string& line)
    {
        hashOnly(line);
        m_latest.push_back(std::to_string(m_runtime.now().time_since_epoch().count() / 1000) + " us " + line);
        if (m_latest.size() > maximumLines)
            m_latest.pop_front();
    }

    /** As note(), and also keeps the line in faults(), where frequent events do not displace it. */
    void noteFault(const std::string& line)
    {
        note(line);
        m_faults.push_back(m_latest.back());
        if (m_faults.size() > maximumLines)
            m_faults.pop_front();
    }

    /** Hashes an event without keeping its line; for events that are so frequent that they would displace all others.
     */
    void hashOnly(const std::string& line)
    {
        add(static_cast<std::uint64_t>(m_runtime.now().time_since_epoch().count()));
        for (const char c : line)
            add(static_cast<unsigned char>(c));
    }

    /** Records a violated invariant and throws run_violation. */
    [[noreturn]] void reportViolation(const std::string& what)
    {
        note("VIOLATION " + what);
        throw run_violation(what);
    }

    /** The FNV-1a hash of the times and lines of all events. */
    std::uint64_t hash() const { return m_hash; }
    const std::deque<std::string>& latest() const { return m_latest; }
    const std::deque<std::string>& faults() const { return m_faults; }

private:
    static constexpr std::size_t maximumLines = 40;

    void add(std::uint64_t value) { m_hash = (m_hash ^ value) * 1099511628211ULL; }

    paused_runtime& m_runtime;
    std::uint64_t m_hash = 14695981039346656037ULL;
    std::deque<std::string> m_latest;
    std::deque<std::string> m_faults;
};

} // namespace plantainlatch
