#pragma once

/** \file
 * In-memory upstreams for tests of the request path. All entries share their slots. A test decides with a hook how each
 * call ends, and can check which requests ran.
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

/** How the fakes handle one call. */
struct call_behaviour {
    enum class kind {
        Answer,
        ConnectFailed,
        ConnectionLimit,
        MarkedRefusal,
        UnmarkedRefusal,
        /** The request does not run, and the connection is lost. */
        LostRequest,
        /** The request runs, and the connection is lost before the answer. */
        LostAnswer,
        /** The request runs, and its answer is not valid HTTP. */
        MalformedAnswer,
        /** The request runs, and the answer to another call comes in its place. */
        OtherAnswer,
        /** The request does not run, and the connection stays open without an answer. */
        Silent,
        /** The upstream crashes while it runs the request; the connections of all calls to it are lost. */
        Crash,
    };
    kind ends = kind::Answer;
    duration delay = std::chrono::milliseconds(20);
    /** The status of a refusal. */
    int refusalStatus = 503;
};

/** A call to an upstream and how it was handled. */
struct recorded_call {
    upstream_call call;
    call_behaviour behaviour;
    time_point startedAt;
    bool cancelled = false;
};

/** The upstreams of one service and their slots, used by all entries through ports(). */
class fake_upstreams {
public:
    fake_upstreams(paused_runtime& runtime, const service_id& service, std::size_t count, std::uint32_t slots);
    fake_upstreams(const fake_upstreams&) = delete;
    fake_upstreams& operator=(const fake_upstreams&) = delete;

    /** The ports of one entry; they are valid as long as this object. */
    struct entry_ports {
        slot_port slots;
        upstream_port upstreams;
    };
    entry_ports ports();

    /** Ends an entry's calls without callbacks, as if its process had crashed. Its slots become free after `lease`. */
    void killEntry(std::size_t entry, duration lease = std::chrono::seconds(12));

    /** Ends an upstream and all calls to it; it starts again after `restartAfter`, as the next generation. */
    void crash(const upstream_id& id);
    /** Loses the connections of all calls to an upstream, which goes on running. */
    void resetConnections(const upstream_id& id);

    /** The upstreams in the order of their ids. */
    std::vector<upstream_id> ids() const;

    /** Revokes all slots that entries hold. */
    void revokeSlots();

    /** The number of slots that entries hold. */
    std::size_t heldSlots() const { return m_heldSlots.size(); }
    /** Called before each call starts. */
    std::function<void(const upstream_call&)> onCall = [](const upstream_call&) {};

    /** Decides how each call is handled. */
    std::function<call_behaviour(const upstream_call&)> behaviour
        = [](const upstream_call&) { return call_behaviour(); };
    std::vector<recorded_call> calls;
    /** How many times a request with each body ran. */
    std::map<std::string, int> runs;
    std::size_t crashes = 0;
    /** How long a crashed upstream stays unavailable; if empty, it does not restart. */
    std::optional<duration> restartAfter;
    std::vector<slot_result> released;
    /** The highest number of requests that ran at one upstream at the same time. */
    std::uint32_t peakRunning = 0;

private:
    struct slot_waiter {
        std::size_t entry;
        slot_request request;
        std::function<void(slot_answer)> onSlot;
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
        /** Fires when the request has finished running; set only if it runs. */
        timer_id workEnd;
        time_point workEndsAt;
    };
    struct slot_holder {
        std::size_t entry;
        upstream_id upstream;
        std::function<void()> onRevoked;
    };
    using call_key = std::pair<std::size_t, std::uint64_t>;

    slot_ticket acquire(std::size_t entry, slot_request request, std::function<void(slot_answer)> onSlot);
    void release(slot_handle handle, const slot_result& result);
    void serveWaiters();
    std::optional<upstream_id> choose(const slot_request& request) const;
    slot_answer grant(const slot_waiter& waiter, const upstream_id& chosen);
    void start(std::size_t entry, const upstream_call& call, call_events events);
    void runWork(open_call& open, const recorded_call& seen);
    void stopWork(const open_call& open);
    void endCall(const call_key& key);
    void cancelCall(const call_key& key);

    paused_runtime& m_runtime;
    std::map<upstream_id, upstream_record> m_upstreams;
    std::map<std::uint64_t, slot_waiter> m_waiters;
    std::map<slot_handle, slot_holder> m_heldSlots;
    std::map<call_key, open_call> m_open;
    std::uint64_t m_lastId = 0;
    std::size_t m_entries = 0;
};

} // namespace plantainlatch
