#pragma once

/** \file
 * What happens in one randomised run: a hash over all of it, the latest lines, and the first broken invariant.
 */

#include <cstdint>
#include <deque>
#include <stdexcept>
#include <string>

#include "support/paused_runtime.h"

namespace plantainlatch {

/** A broken invariant; it ends the run. */
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
        if (m_latest.size() > keptLines)
            m_latest.pop_front();
    }

    /** As note(), and keeps the line among the faults, which the latest events do not crowd out. */
    void noteFault(const std::string& line)
    {
        note(line);
        m_faults.push_back(m_latest.back());
        if (m_faults.size() > keptLines)
            m_faults.pop_front();
    }

    /** Hashes an event that would crowd out the others. */
    void hashOnly(const std::string& line)
    {
        add(static_cast<std::uint64_t>(m_runtime.now().time_since_epoch().count()));
        for (const char c : line)
            add(static_cast<unsigned char>(c));
    }

    /** Ends the run. */
    [[noreturn]] void violate(const std::string& what)
    {
        note("VIOLATION " + what);
        throw run_violation(what);
    }

    std::uint64_t hash() const { return m_hash; }
    const std::deque<std::string>& latest() const { return m_latest; }
    const std::deque<std::string>& faults() const { return m_faults; }

private:
    static constexpr std::size_t keptLines = 40;

    void add(std::uint64_t value) { m_hash = (m_hash ^ value) * 1099511628211ULL; }

    paused_runtime& m_runtime;
    std::uint64_t m_hash = 14695981039346656037ULL;
    std::deque<std::string> m_latest;
    std::deque<std::string> m_faults;
};

} // namespace plantainlatch
