#pragma once

/** \file
 * A soak run with the deployment of ajuste-mx on the users' platform: five control VMs and seven entries as processes,
 * upstreams and callers that keep their connections in the test, and an operator. Control VMs are killed, frozen,
 * started again and have full disks in turn; entries are stopped one after another, get a SIGHUP, and further signals
 * while they stop; orders go to frozen VMs first.
 */

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "error/raw_client.h"
#include "error/raw_upstream.h"
#include "integration/platform_processes.h"
#include "runtime/event_loop.h"
#include "soak/platform_callers.h"

namespace plantainlatch {

/** One run; its destructor ends all processes. */
class platform_soak {
public:
    platform_soak(std::uint64_t seed, duration length);

    void run();

    /** Descriptions of the violated invariants. */
    const std::vector<std::string>& violations() const { return m_violations; }
    /** The events of the run with their times. */
    const std::string& journal() const { return m_journal; }

private:
    using answer_handler = std::function<void(int status, const std::string& answer)>;

    enum class control_fault { Kill, Freeze, FullDisk };

    /** A call on a connection of its own. */
    struct pending_call {
        std::unique_ptr<raw_client> client;
        time_point deadline;
        answer_handler done;
    };

    struct soak_upstream {
        std::string id;
        std::string service;
        std::string domain;
        std::unique_ptr<raw_upstream> server;
        int sequence = 0;
    };

    caller_hooks hooksOfCallers();
    void addUpstreams();
    void serve(soak_upstream& upstream, std::size_t connection, const std::string& request);
    duration workOf(const std::string& request);
    void announceAll();
    void call(int vm, std::uint16_t port, const std::string& head, const std::string& body, answer_handler done);
    /** Handles what has arrived, and schedules itself again. */
    void poll();
    void pollCalls();

    /** Sends an order until it is acknowledged or `attempts` VMs were asked. Frozen VMs are asked first. */
    void order(const std::string& path, const std::string& body, int attempts, std::function<void(bool)> done);
    void operate();
    void putNext(int attempts);
    void evacuate();
    void readConfiguration(int vm);
    std::string configuration(int version) const;

    void disturb();
    void disturbControl(int vm);
    void beginFault(control_fault fault, int vm);
    void endFault(control_fault fault, int vm);
    void killAllControls();
    void reloadEntry(int vm);
    void stopEntry(int vm);
    /** Sends further signals to a stopping entry, and starts it again once it has ended; it must do so by `end`. */
    void awaitStop(int vm, time_point end);
    void checkRecovery();
    void checkEvacuation();
    /** Notes what each VM knows of the drains and the upstreams, and which orders and leaders the control VMs logged.
     */
    void noteStates();

    void runUntil(const std::string& what, duration limit, const std::function<bool()>& isDone);
    void runFor(duration span);
    int below(int count) { return static_cast<int>(m_random() % static_cast<std::uint64_t>(count)); }
    duration upTo(duration limit) { return duration(m_random() % static_cast<std::uint64_t>(limit.count())); }
    void note(const std::string& what);
    void reportViolation(const std::string& what);
    void reportViolation(int entry, const std::string& request, const std::string& what);
    /** Notes what the entries logged on the requests of violations. */
    void noteLogs();

    std::mt19937_64 m_random;
    duration m_length;
    std::unique_ptr<event_loop> m_loop = *event_loop::create(1);
    kernel_hooks m_hooks = m_loop->hooks([](const log_event&) {});
    platform_processes m_vms;
    std::vector<std::unique_ptr<soak_upstream>> m_upstreams;
    platform_callers m_callers;
    std::vector<pending_call> m_calls;
    /** The domain in which each request ran. */
    std::map<std::string, std::string> m_runs;
    std::map<std::string, std::uint64_t> m_runsByDomain;
    std::set<int> m_disturbed;
    std::set<int> m_frozen;
    std::set<int> m_stopping;
    std::uint64_t m_lastRequest = 0;
    int m_sentVersion = 1;
    int m_acknowledgedVersion = 0;
    /** The last evacuation order that was acknowledged. */
    bool m_isEvacuated = false;
    bool m_isActive = true;
    bool m_isOrdering = false;
    std::vector<std::string> m_violations;
    /** The requests of violations, and their entries. */
    std::map<std::string, int> m_violating;
    std::string m_journal;
    time_point m_began = m_hooks.now();
};

} // namespace plantainlatch
