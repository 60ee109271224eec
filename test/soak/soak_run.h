#pragma once

/** \file
 * One soak run: real processes under load with the faults of a schedule injected. Invariants are checked during the run
 * and after recovery.
 */

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "integration/test_system.h"
#include "soak/soak_schedule.h"

namespace plantainlatch {

/** Injects the faults of a schedule; its destructor ends all processes that it started. */
class soak_run {
public:
    soak_run(std::uint64_t seed, soak_size size);

    /** Injects all faults, ends them, and checks that the system has recovered. Violations are in violations(). */
    void run();

    /** Descriptions of the violated invariants; the journal has the times of the violations. */
    const std::vector<std::string>& violations() const { return m_violations; }
    /** The events of the run with their times, to diagnose a failure. */
    const std::string& journal() const { return m_journal; }

private:
    void begin(const soak_event& event);
    void end(const soak_event& event);
    void setPeerFaults(int vm, const std::string& outgoing, const std::string& incoming);
    void change(const soak_event& event);
    /** Checks that the configuration number in force at a VM never decreases while its process runs. */
    void checkNumbers();
    void endAllFaults();
    void checkRecovery();
    void note(const std::string& what);
    void reportViolation(const std::string& what);

    soak_size m_size;
    std::vector<soak_event> m_schedule;
    test_system m_system;
    time_point m_startTime;
    std::set<int> m_unavailable;
    std::map<int, std::uint64_t> m_highestInForce;
    std::uint64_t m_lastNumber = 1;
    std::uint64_t m_acknowledgedNumber = 1;
    std::vector<std::string> m_violations;
    std::string m_journal;
};

} // namespace plantainlatch
