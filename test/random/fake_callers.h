#pragma once

/** \file
 * Callers that send requests through the VMs, resend keyed ones, and hold the system to every answer.
 */

#include <functional>
#include <memory>
#include <string>

#include "fake_upstreams.h"
#include "ports/request_port.h"

namespace plantainlatch {

/** The requests port of a VM's process, and its life; empty when the VM does not run. */
struct reachable_entry {
    request_port* requests = nullptr;
    std::weak_ptr<bool> life;
    vm_id vm;
};

/** The callers of a run. */
class fake_callers {
public:
    fake_callers(paused_runtime& runtime, run_journal& journal, fake_upstreams& upstreams)
        : m_runtime(runtime)
        , m_journal(journal)
        , m_upstreams(upstreams)
    {
    }

    /** An entry that works now. */
    std::function<reachable_entry()> pickEntry;

    /** Sends requests of every kind, one each `interval` on average, until stop(). */
    void start(duration interval);
    void stop() { m_active = false; }

    /** Sends one piece of work through one entry, and tells whether it was completed. */
    void probe(const reachable_entry& entry, bool keyed, std::function<void(bool completed)> done);

    std::uint64_t completed() const { return m_completed; }

private:
    struct work {
        std::string target;
        bool write = false;
        bool keyed = false;
        int attempts = 0;
        int open = 0;
        bool settled = false;
    };
    using work_pointer = std::shared_ptr<work>;

    void sendNext(duration interval);
    work_pointer makeWork();
    caller_request requestFor(const work& item) const;
    void send(const work_pointer& item);
    void submit(const work_pointer& item, const reachable_entry& entry, std::function<void(bool)> done);
    void check(work& item, const caller_answer& answer);
    void resendLater(const work_pointer& item);

    paused_runtime& m_runtime;
    run_journal& m_journal;
    fake_upstreams& m_upstreams;
    bool m_active = false;
    std::uint64_t m_lastWork = 0;
    std::uint64_t m_completed = 0;
};

} // namespace plantainlatch
