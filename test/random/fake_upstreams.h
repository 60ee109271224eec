#pragma once

/** \file
 * Simulated upstreams with a slot count and a service time, and the calls of VMs to them. They can crash, shed load,
 * answer slowly, report a wrong load, stop answering on idle connections, and deregister.
 */

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "ports/directory_port.h"
#include "ports/upstream_port.h"
#include "run_journal.h"
#include "support/process_hooks.h"

namespace plantainlatch {

/** The probabilities of upstream faults, per mille. */
struct upstream_faults {
    std::uint64_t shedPerMille = 0;
    std::uint64_t slowPerMille = 0;
    /** Load polls that get no report. */
    std::uint64_t missingReportPerMille = 0;
    /** Load reports that wrongly state that the upstream is idle. */
    std::uint64_t wrongReportPerMille = 0;
};

/** All upstreams of one run, with a count of how often each request ran on them. */
class fake_upstreams {
public:
    fake_upstreams(paused_runtime& runtime, run_journal& journal);

    upstream_faults faults;
    /** Whether a VM and the upstreams of a region can currently reach each other. */
    std::function<bool(const vm_id&, const region_id&)> reaches = [](const vm_id&, const region_id&) { return true; };
    /** Chooses a VM and returns its directory port; null when the VM does not serve. */
    std::function<directory_port*()> pickDirectory;
    /** How long after an accepted deregistration or drain an upstream may still receive new requests. */
    duration quiesceLimit = std::chrono::seconds(5);

    /** Adds an upstream, which announces itself periodically. */
    void add(upstream_announcement announced);
    std::size_t size() const { return m_upstreams.size(); }
    upstream_id idOf(std::size_t position) const { return m_upstreams[position]->announced.id; }

    /** The upstream port of one VM process. */
    upstream_port attach(const vm_id& vm, const process_lifetime& life);

    /** Kills the upstream's process; it restarts after `downTime` as a new generation. */
    void crash(const upstream_id& id, duration downTime);
    /** Deregisters the upstream; it comes back after `absentTime` as a new generation. */
    void leave(const upstream_id& id, duration absentTime);
    /** Records that a drain of the upstream was accepted, or that its end is about to be proposed. */
    void noteDrain(const upstream_id& id, bool draining);
    /** Makes pooled connections from the VM to the upstream drop requests until a new connection is opened. */
    void silence(const vm_id& vm, const upstream_id& id) { m_silentConnections.insert({ vm, id }); }
    /** Ends the faults in `faults` and makes silent connections answer again. */
    void endFaults();

    /** How often the request with this target ran. */
    int runsOf(const std::string& target) const;
    /** Records that a caller was told that the request did not run: until clearNotRun(), a run is a violation. */
    void markNotRun(const std::string& target) { m_notRun.insert(target); }
    /** Permits the request to run, as it is being sent again. */
    void clearNotRun(const std::string& target) { m_notRun.erase(target); }
    int crashesBy(const std::string& target) const;

private:
    struct open_call;
    struct upstream_state {
        upstream_announcement announced;
        bool up = true;
        /** Incremented by each crash, which drops all running requests. */
        int incarnation = 1;
        std::uint32_t running = 0;
        /** A new request after this time is a violation; unset while the upstream is in service. */
        std::optional<time_point> quiescedFrom;
        /** The end of the cold start, during which requests take five times as long. */
        time_point slowUntil {};
        bool isDeregistered = false;
        std::set<const open_call*> runningCalls;
    };
    struct open_call {
        upstream_call call;
        call_events events;
        vm_id vm;
        std::weak_ptr<bool> life;
        upstream_state* upstream = nullptr;
        int upstreamIncarnation = 0;
        bool ended = false;
        bool running = false;
        time_point startedAt {};
    };
    using call_pointer = std::shared_ptr<open_call>;
    using pair_key = std::pair<vm_id, upstream_id>;

    upstream_state* find(const upstream_id& id);
    /** Null if no upstream has the address. */
    upstream_state* findAddress(const network_address& address);
    /** True with a probability of `perMille` / 1000. */
    bool happens(std::uint64_t perMille) { return perMille > 0 && m_runtime.random() % 1000 < perMille; }
    bool isReachable(const open_call& call) const { return reaches(call.vm, call.upstream->announced.region); }
    void announce(const upstream_id& id);
    void restart(const upstream_id& id);
    void start(const vm_id& vm, const std::weak_ptr<bool>& life, upstream_call call, call_events events);
    void dispatch(const call_pointer& call);
    void arrive(const call_pointer& call);
    bool sheds(const call_pointer& call);
    void checkStart(const open_call& call);
    void noteRunning(const upstream_state& upstream);
    duration serviceTime(const upstream_state& upstream);
    void complete(const call_pointer& call);
    void stopRunning(const call_pointer& call);
    void answer(const call_pointer& call, upstream_answer content);
    void fail(const call_pointer& call, call_failure failure);
    void cancel(const vm_id& vm, call_id id);

    paused_runtime& m_runtime;
    run_journal& m_journal;
    std::vector<std::unique_ptr<upstream_state>> m_upstreams;
    std::map<std::pair<vm_id, call_id>, call_pointer> m_calls;
    std::set<pair_key> m_idleConnections;
    std::set<pair_key> m_silentConnections;
    std::map<std::string, int> m_runs;
    std::map<std::string, int> m_crashes;
    std::set<std::string> m_notRun;
};

} // namespace plantainlatch
