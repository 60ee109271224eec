#pragma once

/** \file
 * Simulated upstreams in virtual time, each with a number of slots and a random service time. With more requests than
 * slots the service time grows in proportion.
 */

#include <map>
#include <string>
#include <utility>

#include "ports/upstream_port.h"
#include "support/simulated_deployment.h"

namespace plantainlatch {

/** Upstreams that never refuse a request. */
class simulated_upstreams {
public:
    explicit simulated_upstreams(paused_runtime& runtime);

    upstream_port portOf(std::size_t entry);

    /** The maximum number of concurrent requests on one upstream, divided by its slots. */
    double maximumLoad = 0;
    /** How often each non-empty request body was run. */
    std::map<std::string, int> runs;

private:
    using call_key = std::pair<std::size_t, std::uint64_t>;

    struct open_call {
        upstream_id upstream;
        call_events events;
        duration delay {};
        /** Set while the request runs. */
        timer_id runTimer;
    };

    void start(std::size_t entry, const upstream_call& call, call_events events);

    void arrive(const call_key& key, const std::string& body);

    /** Ends the request and sends its answer. */
    void finish(const call_key& key);

    void timeOut(const call_key& key);

    /** Closes the connection; the upstream stops the request when it notices the close. */
    void cancel(const call_key& key);

    static region_id regionOfUpstream(const upstream_id& id);

    paused_runtime& m_runtime;
    std::map<call_key, open_call> m_open;
    std::map<upstream_id, std::uint32_t> m_running;
};

} // namespace plantainlatch
