#pragma once

/** \file
 * A small system of real processes on a loopback network of its own: VMs, stand-in upstreams, load, and a fault proxy.
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

namespace plantainlatch {

/** How a test system is made. */
struct test_system_options {
    /** VMs e1 to eN, in turn over three regions; the first three are replicas. */
    int vmCount = 4;
    /** Whether VMs reach each other, and entries their upstreams, through the fault proxy. */
    bool throughProxy = false;
};

/** Load that runs beside the test. */
struct load_run {
    std::unique_ptr<child_process> process;
    std::string reportFile;
};

/** Starts, breaks and ends processes; everything ends with it. What does not come about in time fails the test. */
class test_system {
public:
    explicit test_system(test_system_options options);
    ~test_system();
    test_system(const test_system&) = delete;
    test_system& operator=(const test_system&) = delete;

    int vmCount() const { return m_options.vmCount; }
    network_address callerAddress(int vm) const;
    http_caller& caller() { return m_caller; }

    /** Starts all VMs, waits for a leader and applies a first declaration of three regions and a service "work". */
    void start();
    void startVm(int vm);
    /** SIGTERM; the result is the exit code, or -1 if it did not end in time. */
    int stopVm(int vm);
    void killVm(int vm);
    void signalVm(int vm, int number);
    /** The exit code of a VM that was told to stop, or -1 if it did not end in time. */
    int waitForExit(int vm);
    /** The number that is in force at a VM; 0 without an answer. */
    std::uint64_t inForce(int vm);
    /** Waits until the VM names a leader and has the number in force. */
    void waitUntilCurrent(int vm, std::uint64_t number);
    /** The leader as the VM knows it; 0 for none. */
    int leaderKnownBy(int vm);
    /** `status` of a VM; null without an answer. */
    nlohmann::json status(int vm);

    /** Applies a declaration through one VM; its exit code. */
    int apply(int vm, const std::string& yaml, duration timeout);
    /** A declaration that only adds a region, so that its number can be told apart by the note. */
    static std::string harmlessDeclaration(int number, int replaces, const std::string& note);

    /** Starts upstreams of "work", in turn over all failure domains; `separately` makes each a process of its own. */
    void startUpstreams(int count, bool separately, const std::vector<std::string>& moreOptions = {});
    int runningUpstreams();
    /** Waits until that many upstreams are known to every running VM. */
    void waitUntilServed();

    load_run startLoad(double rate, duration length, const std::string& mix);
    /** The report, once the load has ended. */
    nlohmann::json finishLoad(load_run& load);

    /** Sets the faults of all routes that begin with a name: `peer-FROM-TO` and `upstream-N`. */
    void setFaults(const std::string& routes, const std::string& json);
    void commandProxy(const std::string& routes, const std::string& command);

    /** The lines of the record of a kind, POST or CRASH. */
    std::vector<std::string> recorded(const std::string& kind);
    /** How many POST requests ran more than once. */
    std::size_t runTwice();

    /** Calls `isDone` until it holds; fails the test after `limit`. */
    static void waitUntil(const std::string& what, duration limit, const std::function<bool()>& isDone);

private:
    network_address peerAddress(int vm) const;
    network_address peerRoute(int from, int to) const;
    network_address upstreamAddress(int number) const;
    network_address upstreamRoute(int number) const;
    std::string host(int number) const;
    std::string file(const std::string& name) const { return m_folder + "/" + name; }
    std::string settingsOf(int vm) const;
    void writeFile(const std::string& name, const std::string& text) const;
    void startProxy();
    /** Writes the state of each VM beside its log, for whoever reads a failure. */
    void keepDumps();
    std::vector<std::string> entryOptions() const;

    test_system_options m_options;
    std::string m_folder;
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
