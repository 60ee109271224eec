#pragma once

/** \file
 * One soak run: real processes under load, struck by the faults of a schedule, with the promises checked meanwhile.
 */

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "integration/test_system.h"
#include "soak/soak_schedule.h"

namespace plantainlatch {

/** Plays a schedule; everything that it starts ends with it. */
class soak_run {
public:
    soak_run(std::uint64_t seed, soak_size size);

    /** Plays all events, heals, and checks what must hold then. Broken promises are in broken(). */
    void play();

    /** What was broken, with the time in the run. */
    const std::vector<std::string>& broken() const { return m_broken; }
    /** What was done, for whoever reads a failure. */
    const std::string& journal() const { return m_journal; }

private:
    void begin(const soak_event& event);
    void end(const soak_event& event);
    void setPeerFaults(int vm, const std::string& outwards, const std::string& inwards);
    void change(const soak_event& event);
    /** Each VM's configuration never goes back while its process lives. */
    void checkNumbers();
    void heal();
    void checkHealed();
    void note(const std::string& what);
    void reportViolation(const std::string& what);

    soak_size m_size;
    std::vector<soak_event> m_schedule;
    test_system m_system;
    time_point m_began;
    std::set<int> m_away;
    std::map<int, std::uint64_t> m_inForce;
    std::uint64_t m_lastNumber = 1;
    std::uint64_t m_acknowledged = 1;
    std::vector<std::string> m_broken;
    std::string m_journal;
};

} // namespace plantainlatch
