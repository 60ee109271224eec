#pragma once

/** \file
 * The slots and the queue of one stand-in upstream, without any socket.
 */

#include <cstdint>
#include <functional>
#include <list>
#include <map>

#include "kernel/hooks.h"
#include "upstream_standin/standin_options.h"

namespace plantainlatch {

/** One request in the queue or in a slot; 0 is none. */
using work_id = strong_number<struct work_tag>;

/** What happens to a request; after onDone or onNotRun nothing more does. */
struct work_events {
    /** It gets a slot and begins to run. */
    std::function<void()> onRun;
    std::function<void()> onDone;
    /** The deadline came while it waited: it did not run. */
    std::function<void()> onNotRun;
    /** The deadline came while it ran. */
    std::function<void()> onCut;
};

/** Runs requests in slots, with a service time each; what finds no slot waits in a bounded queue. */
class work_queue {
public:
    work_queue(const kernel_hooks& hooks, const standin_options& options);

    /** Takes a request; 0 when the queue is full. Events never come before this returns. `holds` keeps the slot until
     * cancel(). */
    work_id add(duration timeout, bool holds, work_events events);

    /** Ends a request at once, without an event. */
    void cancel(work_id id);

    std::uint32_t running() const { return m_running; }
    std::uint32_t queued() const { return static_cast<std::uint32_t>(m_waiting.size()); }
    std::uint64_t runCount() const { return m_runCount; }

private:
    struct work {
        work_events events;
        bool runs = false;
        bool holds = false;
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
    double uniform();

    const kernel_hooks& m_hooks;
    const standin_options& m_options;
    std::uint64_t m_lastWork = 0;
    std::map<work_id, work> m_work;
    std::list<work_id> m_waiting;
    std::uint32_t m_running = 0;
    std::uint64_t m_runCount = 0;
};

} // namespace plantainlatch
