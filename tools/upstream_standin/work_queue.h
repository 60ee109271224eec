#pragma once

/** \file
 * Simulates the execution of requests by one stand-in upstream, with a fixed number of slots and a bounded queue.
 */

#include <cstdint>
#include <functional>
#include <list>
#include <map>

#include "kernel/hooks.h"
#include "upstream_standin/standin_options.h"

namespace plantainlatch {

/** Identifies a request in the queue or in a slot; 0 means none. */
using work_id = strong_number<struct work_tag>;

/** Callbacks for one request. Exactly one of onDone, onNotRun and onDeadline is called, as the last one, unless the
 * request is cancelled. */
struct work_events {
    /** The request got a slot and its execution begins. */
    std::function<void()> onRun;
    /** The request was executed for its service time. */
    std::function<void()> onDone;
    /** The deadline passed while the request was queued, so it was not executed. */
    std::function<void()> onNotRun;
    /** The deadline passed while the request was executed. */
    std::function<void()> onDeadline;
};

/** Executes each request in a slot for its service time. Requests that find no free slot wait in a bounded queue.
 */
class work_queue {
public:
    work_queue(const kernel_hooks& hooks, const standin_options& options);

    /** Adds a request; returns 0 if the queue is full. No callback is called before this returns. With `holdsSlot`, the
     * request keeps its slot until its deadline or cancel(). */
    work_id add(duration timeout, bool holdsSlot, work_events events);

    /** Removes a request without calling any of its callbacks. */
    void cancel(work_id id);

    std::uint32_t running() const { return m_running; }
    std::uint32_t queued() const { return static_cast<std::uint32_t>(m_queued.size()); }
    std::uint64_t runCount() const { return m_runCount; }

private:
    struct work {
        work_events events;
        bool isRunning = false;
        bool holdsSlot = false;
        timer_id deadline;
        timer_id end;
    };

    void startWaiting();
    void run(work_id id);
    void finish(work_id id);
    void expire(work_id id);
    work remove(work_id id);
    duration nextServiceTime();
    double nextFactor();
    double uniformRandom();

    const kernel_hooks& m_hooks;
    const standin_options& m_options;
    std::uint64_t m_lastWork = 0;
    std::map<work_id, work> m_work;
    std::list<work_id> m_queued;
    std::uint32_t m_running = 0;
    std::uint64_t m_runCount = 0;
};

} // namespace plantainlatch
