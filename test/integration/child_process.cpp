#include "integration/child_process.h"

#include <csignal>
#include <cstdlib>

#include <fcntl.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "core/internal_assert.h"

namespace plantainlatch {

namespace {

    constexpr duration exitCheckInterval = std::chrono::milliseconds(10);
    constexpr int signalExitOffset = 128;
    constexpr int startFailed = 127;
    constexpr int logMode = 0644;

    [[noreturn]] void runChild(const std::string& path, const std::vector<std::string>& arguments,
        const std::string& folder, const std::string& logFile)
    {
        std::vector<char*> pointers { const_cast<char*>(path.c_str()) };
        for (const std::string& argument : arguments)
            pointers.push_back(const_cast<char*>(argument.c_str()));
        pointers.push_back(nullptr);
        const int log = open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, logMode);
        if (log < 0 || chdir(folder.c_str()) != 0)
            _exit(startFailed);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        // A connection of the test that a child inherits would stay open after the test has closed it.
        closefrom(STDERR_FILENO + 1);
        // setDiskFull() lets writes fail with this signal, which would otherwise end the process.
        std::signal(SIGXFSZ, SIG_IGN);
        execv(path.c_str(), pointers.data());
        _exit(startFailed);
    }

} // namespace

std::unique_ptr<child_process> child_process::start(const std::string& program,
    const std::vector<std::string>& arguments, const std::string& folder, const std::string& logFile)
{
    const char* binFolder = std::getenv("PLANTAINLATCH_BIN");
    internal_assert(binFolder != nullptr) << "PLANTAINLATCH_BIN must name the folder of the built programs";
    const std::string path = std::string(binFolder) + "/" + program;
    const pid_t id = fork();
    internal_assert(id >= 0) << "fork failed";
    if (id == 0)
        runChild(path, arguments, folder, logFile);
    return std::unique_ptr<child_process>(new child_process(id));
}

child_process::~child_process() { kill(); }

void child_process::setDiskFull(bool full)
{
    rlimit limit {};
    prlimit(m_id, RLIMIT_FSIZE, nullptr, &limit);
    limit.rlim_cur = full ? 0 : limit.rlim_max;
    internal_assert(prlimit(m_id, RLIMIT_FSIZE, &limit, nullptr) == 0) << "the limit on file sizes can't be set";
}

void child_process::terminate() { signal(SIGTERM); }

void child_process::signal(int number)
{
    if (!m_exitCode)
        ::kill(m_id, number);
}

void child_process::kill()
{
    if (m_exitCode)
        return;
    ::kill(m_id, SIGKILL);
    int status = 0;
    waitpid(m_id, &status, 0);
    m_exitCode = signalExitOffset + SIGKILL;
}

std::optional<int> child_process::waitForExit(duration limit)
{
    const time_point end = steadyNow() + limit;
    while (!m_exitCode) {
        int status = 0;
        if (waitpid(m_id, &status, WNOHANG) == m_id) {
            m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : signalExitOffset + WTERMSIG(status);
            break;
        }
        if (steadyNow() >= end)
            break;
        pause(exitCheckInterval);
    }
    return m_exitCode;
}

void pause(duration span)
{
    poll(nullptr, 0, static_cast<int>(std::chrono::ceil<std::chrono::milliseconds>(span).count()));
}

time_point steadyNow()
{
    timespec moment {};
    clock_gettime(CLOCK_MONOTONIC, &moment);
    return time_point(std::chrono::seconds(moment.tv_sec) + std::chrono::nanoseconds(moment.tv_nsec));
}

} // namespace plantainlatch
