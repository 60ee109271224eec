#pragma once

/** \file
 * Upstreams with a slot count and a delay, and the calls of VMs to them: they crash, lie, shed, fall silent and leave.
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

/** How upstreams misbehave; the chances are out of 1000. */
struct upstream_faults {
    std::uint64_t shedPerMille = 0;
    std::uint64_t slowPerMille = 0;
    /** A load report that is missing, or says that all is well and idle. */
    std::uint64_t missingReportPerMille = 0;
    std::uint64_t lyingReportPerMille = 0;
};

/** The upstreams of a run and all that was ever run on them. */
class fake_upstreams {
public:
    fake_upstreams(paused_runtime& runtime, run_journal& journal);

    upstream_faults faults;
    /** Whether bytes get through between a VM and an upstream's region just now. */
    std::function<bool(const vm_id&, const region_id&)> reaches = [](const vm_id&, const region_id&) { return true; };
    /** The directory of a VM that works now; null for none. */
    std::function<directory_port*()> pickDirectory;
    /** After a goodbye or a drain was accepted, new work stops within this time. */
    duration leaveLimit = std::chrono::seconds(5);

    /** Adds an upstream and lets it announce itself. */
    void add(upstream_announcement announced);
    std::size_t size() const { return m_upstreams.size(); }
    upstream_id idOf(std::size_t position) const { return m_upstreams[position]->announced.id; }

    /** The calls of one process. */
    upstream_port attach(const vm_id& vm, const process_lifetime& life);

    /** The process dies and comes back as a new generation. */
    void crash(const upstream_id& id, duration downTime);
    /** Says goodbye, and comes back as a new generation. */
    void leave(const upstream_id& id, duration awayTime);
    /** A drain of the upstream was accepted, or is about to end. */
    void noteDrain(const upstream_id& id, bool draining);
    /** Idle connections between a VM and an upstream swallow what is sent. */
    void silence(const vm_id& vm, const upstream_id& id) { m_silent.insert({ vm, id }); }
    /** Ends all misbehaviour. */
    void calm();

    /** How often the work of this target ran. */
    int runsOf(const std::string& target) const;
    /** A caller was told that this work did not run, or it is being sent again. */
    void promiseNotRun(const std::string& target) { m_notRun.insert(target); }
    void endPromise(const std::string& target) { m_notRun.erase(target); }
    int crashesBy(const std::string& target) const;

private:
    struct open_call;
    struct upstream_state {
        upstream_announcement announced;
        bool up = true;
        /** Raised by each crash; work of an earlier life is gone. */
        int life = 1;
        std::uint32_t running = 0;
        std::optional<time_point> mustBeIdleFrom;
        time_point coldUntil {};
        bool hasLeft = false;
        std::set<const open_call*> work;
    };
    struct open_call {
        upstream_call call;
        call_events events;
        vm_id vm;
        std::weak_ptr<bool> life;
        upstream_state* upstream = nullptr;
        int upstreamLife = 0;
        bool ended = false;
        bool running = false;
        time_point startedAt {};
    };
    using call_pointer = std::shared_ptr<open_call>;
    using pair_key = std::pair<vm_id, upstream_id>;

    upstream_state* find(const upstream_id& id);
    upstream_state* findAddress(const network_address& address);
    bool happens(std::uint64_t perMille) { return perMille > 0 && m_runtime.random() % 1000 < perMille; }
    bool reachesNow(const open_call& call) const { return reaches(call.vm, call.upstream->announced.region); }
    void announce(const upstream_id& id);
    void comeBack(const upstream_id& id);
    void start(const vm_id& vm, const std::weak_ptr<bool>& life, upstream_call call, call_events events);
    void offer(const call_pointer& call);
    void arrive(const call_pointer& call);
    bool sheds(const call_pointer& call);
    void checkStart(const open_call& call);
    void noteRunning(const upstream_state& upstream);
    duration workTime(const upstream_state& upstream);
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
    std::set<pair_key> m_silent;
    std::map<std::string, int> m_runs;
    std::map<std::string, int> m_crashes;
    std::set<std::string> m_notRun;
};

} // namespace plantainlatch
