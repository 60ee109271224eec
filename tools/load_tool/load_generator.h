#pragma once

/** \file
 * The open loop: requests leave at their intended times, whatever became of the earlier ones.
 */

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "kernel/hooks.h"
#include "load_tool/entry_source.h"
#include "load_tool/load_options.h"
#include "load_tool/run_report.h"
#include "ports/upstream_port.h"

namespace plantainlatch {

/** Sends all requests of a run and sends those again for which that is safe. */
class load_generator {
public:
    load_generator(const kernel_hooks& hooks, upstream_port& client, const load_options& options, run_report& report);

    /** Runs the load; `done` is called when all requests have ended. */
    void start(std::function<void()> done);

private:
    struct request {
        std::uint64_t number = 0;
        work_kind kind = work_kind::Idempotent;
        time_point intended;
        std::uint32_t tries = 0;
        network_address lastEntry;
        entry_source* entries = nullptr;
    };
    using request_pointer = std::shared_ptr<request>;

    void begin();
    void sendDue();
    void send(const request_pointer& item);
    upstream_call makeCall(const request& item);
    void answered(const request_pointer& item, const upstream_answer& answer);
    void failed(const request_pointer& item, call_failure failure);
    /** Whether a request may be sent again now, after `delay`. */
    bool trySendAgain(const request_pointer& item, duration delay);
    void end(const request& item, request_end end);
    void finishIfDone();
    work_kind nextKind();
    time_point intendedAt(std::uint64_t number) const;
    duration timeLeft(const request& item) const;

    const kernel_hooks& m_hooks;
    upstream_port& m_client;
    const load_options& m_options;
    run_report& m_report;
    std::function<void()> m_done;
    std::vector<std::unique_ptr<entry_source>> m_sources;
    std::size_t m_waitingSources = 0;
    std::string m_runName;
    std::string m_body;
    time_point m_start;
    std::uint64_t m_total = 0;
    std::uint64_t m_next = 0;
    std::uint64_t m_open = 0;
    std::uint64_t m_lastCall = 0;
};

} // namespace plantainlatch
