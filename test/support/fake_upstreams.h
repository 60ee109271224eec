#pragma once

/** \file
 * Upstreams in memory: slots shared by all entries, calls that end as a test's hook says, and a count of what ran.
 */

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ports/slot_port.h"
#include "ports/upstream_port.h"
#include "support/paused_runtime.h"

namespace plantainlatch {

/** How one call goes. */
struct call_behaviour {
    enum class kind {
        Answer,
        ConnectFailed,
        ConnectionLimit,
        MarkedRefusal,
        BareRefusal,
        /** The request is lost on its way; the connection ends. */
        LostRequest,
        /** The work runs, its answer is lost, the connection ends. */
        LostAnswer,
        /** The request is swallowed; nothing more happens. */
        Silent,
        /** The upstream crashes while it runs the work; all calls to it are lost. */
        Crash,
    };
    kind ends = kind::Answer;
    duration delay = std::chrono::milliseconds(20);
};

/** One call as an upstream saw it. */
struct seen_call {
    upstream_call call;
    call_behaviour behaviour;
    time_point startedAt;
    bool cancelled = false;
};

/** The upstreams of one service with their slots; entries share it through ports(). */
class fake_upstreams {
public:
    fake_upstreams(paused_runtime& runtime, const service_id& service, std::size_t count, std::uint32_t slots);
    fake_upstreams(const fake_upstreams&) = delete;
    fake_upstreams& operator=(const fake_upstreams&) = delete;

    /** One entry's ports; the upstreams outlive them. */
    struct entry_ports {
        slot_port slots;
        upstream_port upstreams;
    };
    entry_ports ports();

    /** Ends one entry's calls as when its process dies; no event follows, and its slots come back after `lease`. */
    void killEntry(std::size_t entry, duration lease = std::chrono::seconds(12));

    /** Slots that entries hold. */
    std::size_t holds() const { return m_holds.size(); }
    /** Called before each call begins. */
    std::function<void(const upstream_call&)> onCall = [](const upstream_call&) {};

    std::function<call_behaviour(const upstream_call&)> behaviour
        = [](const upstream_call&) { return call_behaviour(); };
    std::vector<seen_call> calls;
    /** How often the work of each body ran. */
    std::map<std::string, int> runs;
    std::size_t crashes = 0;
    /** How long a crashed upstream stays away; for good without one. */
    std::optional<duration> restartAfter;
    std::vector<slot_result> released;
    /** The most work that ever ran at one upstream at once. */
    std::uint32_t mostRunning = 0;

private:
    struct slot_waiter {
        std::size_t entry;
        slot_request asked;
        std::function<void(slot_answer)> given;
    };
    struct upstream_record {
        upstream_announcement announcement;
        std::uint32_t inUse = 0;
        std::uint32_t running = 0;
        bool crashed = false;
    };
    struct open_call {
        std::size_t entry;
        std::size_t index;
        call_events events;
        /** Ends the work, when it runs. */
        timer_id workEnd;
        time_point workEndsAt;
    };
    struct held {
        std::size_t entry;
        upstream_id upstream;
    };
    using call_name = std::pair<std::size_t, std::uint64_t>;

    slot_ticket acquire(std::size_t entry, slot_request asked, std::function<void(slot_answer)> given);
    void release(slot_handle handle, const slot_result& result);
    void serveWaiters();
    std::optional<upstream_id> choose(const slot_request& asked) const;
    slot_answer give(std::size_t entry, const upstream_id& chosen);
    void start(std::size_t entry, const upstream_call& call, call_events events);
    void runWork(open_call& open, const seen_call& seen);
    void stopWork(const open_call& open);
    void crash(const upstream_id& id);
    void endCall(const call_name& name);
    void cancelCall(const call_name& name);

    paused_runtime& m_runtime;
    std::map<upstream_id, upstream_record> m_upstreams;
    std::map<std::uint64_t, slot_waiter> m_waiters;
    std::map<slot_handle, held> m_holds;
    std::map<call_name, open_call> m_open;
    std::uint64_t m_last = 0;
    std::size_t m_entries = 0;
};

} // namespace plantainlatch
