#pragma once

/** \file
 * One stand-in upstream: an HTTP server that executes requests in a work queue.
 */

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "kernel/hooks.h"
#include "model/upstream.h"
#include "upstream_standin/run_record.h"
#include "upstream_standin/standin_options.h"
#include "upstream_standin/work_queue.h"

struct event_base;
struct evhtp;
struct evhtp_request;

namespace plantainlatch {

/** Answers /health and /load, and treats every other path as a request to execute. */
class standin {
public:
    /** Unavailable if the address can't be listened on. The hooks, options and record must outlive the stand-in. */
    static absl::StatusOr<std::unique_ptr<standin>> create(event_base* base, const kernel_hooks& hooks,
        const standin_options& options, upstream_announcement self, run_record& record);
    ~standin();
    standin(const standin&) = delete;
    standin& operator=(const standin&) = delete;

    /** Reports draining in /load and unhealthy in /health from now on; requests are still executed. */
    void drain() { m_draining = true; }

    /** The number of accepted requests that are not answered yet. */
    std::size_t inFlight() const { return m_exchanges.size(); }
    std::uint64_t runCount() const { return m_queue.runCount(); }
    std::uint64_t shedCount() const { return m_shedCount; }

private:
    struct exchange {
        evhtp_request* request = nullptr;
        std::string call;
        std::string requestName;
        work_id work;
    };
    struct load_sample {
        time_point at;
        std::uint32_t running = 0;
        std::uint32_t queued = 0;
    };

    standin(const kernel_hooks& hooks, const standin_options& options, upstream_announcement self, run_record& record);
    absl::Status listen(event_base* base);

    void handle(evhtp_request* request);
    void handleLoad(evhtp_request* request);
    void handleWork(evhtp_request* request);
    void refuse(evhtp_request* request);
    void answer(std::uint64_t key, int status);
    void answerNotRun(std::uint64_t key);
    void onRequestEnded(evhtp_request* request);
    /** Removes and returns an exchange; onRequestEnded() ignores its request from then on. */
    exchange removeExchange(std::uint64_t key);
    void sampleLoad();

    const kernel_hooks& m_hooks;
    const standin_options& m_options;
    upstream_announcement m_self;
    run_record& m_record;
    work_queue m_queue;
    evhtp* m_server = nullptr;
    bool m_draining = false;
    std::uint64_t m_lastExchange = 0;
    std::uint64_t m_shedCount = 0;
    std::map<std::uint64_t, exchange> m_exchanges;
    std::map<evhtp_request*, std::uint64_t> m_byRequest;
    std::deque<load_sample> m_samples;
};

} // namespace plantainlatch
