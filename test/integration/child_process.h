#pragma once

/** \file
 * A process that a test starts and ends.
 */

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

#include "core/clock.h"

namespace plantainlatch {

/** A child process; it is killed when the test is done with it. */
class child_process {
public:
    /** Starts `program` of the folder PLANTAINLATCH_BIN in `folder`; its output goes to `logFile`, appended. */
    static std::unique_ptr<child_process> start(const std::string& program, const std::vector<std::string>& arguments,
        const std::string& folder, const std::string& logFile);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    void terminate();
    void signal(int number);
    /** Ends it without a chance to clean up, and waits for that. */
    void kill();
    /** The exit code if it ends in time; 128 and the signal's number when a signal ended it. */
    std::optional<int> waitForExit(duration limit);
    bool isRunning() { return !waitForExit(duration::zero()).has_value(); }

private:
    explicit child_process(pid_t id)
        : m_id(id)
    {
    }

    pid_t m_id;
    std::optional<int> m_exitCode;
};

/** Blocks for a while; the test's own process has nothing else to do. */
void pause(duration span);

/** The system's monotonic clock. */
time_point steadyNow();

} // namespace plantainlatch
