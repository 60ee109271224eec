#pragma once

/** \file
 * Open-loop load generator: each request is sent at its scheduled time, independently of the answers to earlier ones.
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

/** Sends all requests of a run. A failed request is sent again only if that is safe (see work_kind). */
class load_generator {
public:
    load_generator(const kernel_hooks& hooks, upstream_port& client, const load_options& options, run_report& report);

    /** Starts the run; `done` is called when all requests have ended. */
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
    void handleAnswer(const request_pointer& item, const upstream_answer& answer);
    void handleFailure(const request_pointer& item, call_failure failure);
    /** Schedules another try after `delay`; returns false if the request has no tries or not enough time left. */
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
    std::size_t m_sourcesWithoutList = 0;
    std::string m_runName;
    std::string m_body;
    time_point m_start;
    std::uint64_t m_requestCount = 0;
    std::uint64_t m_nextNumber = 0;
    std::uint64_t m_openRequests = 0;
    std::uint64_t m_lastCall = 0;
};

} // namespace plantainlatch
