#pragma once

/** \file
 * A small system of real processes on its own loopback network: VMs, stand-in upstreams, a load generator, and a fault
 * proxy.
 */

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "integration/child_process.h"
#include "integration/http_caller.h"
#include "model/address.h"
#include "support/temporary_folder.h"

namespace plantainlatch {

/** The options of a test system. */
struct test_system_options {
    /** The number N of VMs. They are named e1 to eN and assigned to three regions round-robin; the first three are
     * replicas. */
    int vmCount = 4;
    /** Whether connections between VMs, and from entries to upstreams, go through the fault proxy. */
    bool throughProxy = false;
};

/** A load generator that runs in parallel with the test. */
struct load_run {
    std::unique_ptr<child_process> process;
    std::string reportFile;
};

/** Starts processes, injects faults, and stops processes. The destructor kills all processes, and keeps the logs
 * and writes state dumps if the test failed with an exception. The waitUntil functions fail the test when their time
 * limit expires. */
class test_system {
public:
    explicit test_system(test_system_options options);
    ~test_system();
    test_system(const test_system&) = delete;
    test_system& operator=(const test_system&) = delete;

    int vmCount() const { return m_options.vmCount; }
    network_address callerAddress(int vm) const;
    http_caller& caller() { return m_caller; }

    /** Starts all VMs, waits for a leader, and applies a first declaration with three regions and the service "work".
     */
    void start();
    /** Starts the process of a VM; does not wait until it serves. */
    void startVm(int vm);
    /** Sends SIGTERM; returns the exit code, or -1 if the process did not exit in time. */
    int stopVm(int vm);
    /** Sends SIGKILL and waits for the end of the process. */
    void killVm(int vm);
    void signalVm(int vm, int number);
    /** Waits until a VM that was told to stop has exited; returns its exit code, or -1 if it did not exit in time. */
    int waitForExit(int vm);
    /** The number of the configuration in force at a VM; 0 if the VM does not answer. */
    std::uint64_t inForce(int vm);
    /** Waits until the VM knows a leader and has a configuration of at least `number` in force. */
    void waitUntilCurrent(int vm, std::uint64_t number);
    /** The number of the VM that this VM considers the leader; 0 if it knows none or does not answer. */
    int leaderKnownBy(int vm);
    /** The answer of a VM to GET /v1/status; null if it does not answer. */
    nlohmann::json status(int vm);

    /** Runs `plantainlatch apply` for a declaration through one VM. Returns its exit code, or -1 if it runs 5 s longer
     * than `timeout`. */
    int apply(int vm, const std::string& yaml, duration timeout);
    /** A declaration that only adds a region; `note` is its note and the region's name, and distinguishes
     * declarations with equal numbers. */
    static std::string regionDeclaration(int number, int replaces, const std::string& note);

    /** Starts `count` upstreams of "work", assigned round-robin to the failure domains; in one process, or with
     * `separateProcesses` in one process each. */
    void startUpstreams(int count, bool separateProcesses, const std::vector<std::string>& extraOptions = {});
    /** The number of upstream processes that run. */
    int runningUpstreams();
    /** Waits until a request through each running VM is answered with status 200. */
    void waitUntilServed();

    /** Starts load of `rate` requests per second; `mix` is the --mix option of load_tool. */
    load_run startLoad(double rate, duration length, const std::string& mix);
    /** Waits for the end of the load and returns its report. */
    nlohmann::json finishLoad(load_run& load);

    /** Sets the faults of all proxy routes that match `routes`: a route's name, or a prefix followed by `*`. Routes are
     * called `peer-FROM-TO` and `upstream-N`. */
    void setFaults(const std::string& routes, const std::string& json);
    /** Sends a command, such as `silence-open`, to all matching routes of the proxy. */
    void commandProxy(const std::string& routes, const std::string& command);

    /** The lines of one kind, POST or CRASH, in the file in which the upstreams record their requests. */
    std::vector<std::string> recordedLines(const std::string& kind);
    /** The number of POST requests that ran more than once. */
    std::size_t requestsRunTwice();

    /** Polls `isDone` until it returns true; fails the test after `limit`. */
    static void waitUntil(const std::string& what, duration limit, const std::function<bool()>& isDone);

private:
    network_address peerAddress(int vm) const;
    network_address peerRoute(int from, int to) const;
    network_address upstreamAddress(int number) const;
    network_address upstreamRoute(int number) const;
    std::string host(int number) const;
    std::string file(const std::string& name) const { return m_folder.file(name); }
    /** The text of the VM's settings file. */
    std::string settingsOf(int vm) const;
    void writeFile(const std::string& name, const std::string& text) const;
    void startProxy();
    /** Writes the state dump of each VM next to its log, to diagnose a failure. */
    void writeStateDumps();
    std::vector<std::string> entryOptions() const;

    test_system_options m_options;
    temporary_folder m_folder;
    std::string m_network;
    int m_networkLock = -1;
    http_caller m_caller;
    std::unique_ptr<child_process> m_proxy;
    std::map<int, std::unique_ptr<child_process>> m_vms;
    std::vector<std::unique_ptr<child_process>> m_upstreams;
    int m_upstreamCount = 0;
    int m_loadCount = 0;
    int m_applyCount = 0;
};

} // namespace plantainlatch
