#pragma once

/** \file
 * Simulated callers. They send requests through the VMs, resend reads and requests with an idempotency key, and check
 * every answer against the runs that the upstreams recorded.
 */

#include <functional>
#include <memory>
#include <string>

#include "fake_upstreams.h"
#include "ports/request_port.h"

namespace plantainlatch {

/** The request port and the lifetime of a VM's process; `requests` is null when the VM does not run. */
struct reachable_entry {
    request_port* requests = nullptr;
    std::weak_ptr<bool> life;
    vm_id vm;
};

/** All callers of one run. */
class fake_callers {
public:
    fake_callers(paused_runtime& runtime, run_journal& journal, fake_upstreams& upstreams)
        : m_runtime(runtime)
        , m_journal(journal)
        , m_upstreams(upstreams)
    {
    }

    /** Chooses a VM to send a request to; `requests` of the result is null when the chosen VM does not serve. */
    std::function<reachable_entry()> pickEntry;

    /** Sends reads and writes, with and without an idempotency key, at a mean interval of `interval` until stop(). */
    void start(duration interval);
    void stop() { m_active = false; }

    /** Sends one request through `entry`; `done` receives true when it completed with status 200. */
    void probe(const reachable_entry& entry, bool keyed, std::function<void(bool completed)> done);

    /** The number of answers with outcome Completed or Replayed. */
    std::uint64_t completed() const { return m_completed; }

private:
    /** One logical request; each resend is a further attempt. */
    struct logical_request {
        std::string target;
        bool write = false;
        bool keyed = false;
        int attempts = 0;
        /** Attempts that a live entry has not answered yet. */
        int pending = 0;
        /** Whether an attempt was completed or replayed. */
        bool settled = false;
    };
    using request_pointer = std::shared_ptr<logical_request>;

    void sendNext(duration interval);
    request_pointer makeRequest();
    caller_request requestFor(const logical_request& item) const;
    void send(const request_pointer& item);
    void submit(const request_pointer& item, const reachable_entry& entry, std::function<void(bool)> done);
    void check(logical_request& item, const caller_answer& answer);
    void resendLater(const request_pointer& item);

    paused_runtime& m_runtime;
    run_journal& m_journal;
    fake_upstreams& m_upstreams;
    bool m_active = false;
    std::uint64_t m_lastRequest = 0;
    std::uint64_t m_completed = 0;
};

} // namespace plantainlatch
