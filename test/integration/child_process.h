#pragma once

/** \file
 * Child processes of a test.
 */

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

#include "core/clock.h"

namespace plantainlatch {

/** A child process; the destructor kills it. */
class child_process {
public:
    /** Starts `program` from the folder that the environment variable PLANTAINLATCH_BIN names, with `folder` as its
     * working folder. Its standard output and standard error are appended to `logFile`. */
    static std::unique_ptr<child_process> start(const std::string& program, const std::vector<std::string>& arguments,
        const std::string& folder, const std::string& logFile);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /** Lets each write of the process to a file fail, as on a full disk, or ends that. */
    void setDiskFull(bool full);
    /** Sends SIGTERM. */
    void terminate();
    void signal(int number);
    /** Sends SIGKILL and waits for the end of the process. */
    void kill();
    /** The exit code, or 128 plus the signal number if a signal ended the process; none if it still runs after `limit`.
     */
    std::optional<int> waitForExit(duration limit);
    pid_t id() const { return m_id; }
    bool isRunning() { return !waitForExit(duration::zero()).has_value(); }

private:
    explicit child_process(pid_t id)
        : m_id(id)
    {
    }

    pid_t m_id;
    std::optional<int> m_exitCode;
};

/** Blocks the calling thread for `span`, rounded up to milliseconds. */
void pause(duration span);

/** The system's monotonic clock. */
time_point steadyNow();

} // namespace plantainlatch
