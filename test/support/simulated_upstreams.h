#pragma once

/** \file
 * Upstreams in virtual time that are a slot count and a delay, and get slower above their slots.
 */

#include <map>
#include <string>
#include <utility>

#include "ports/upstream_port.h"
#include "support/simulated_site.h"

namespace plantainlatch {

/** Upstreams that run all that they get, and count it. */
class simulated_upstreams {
public:
    explicit simulated_upstreams(paused_runtime& runtime);

    upstream_port portOf(std::size_t entry);

    double mostOverCapacity = 0;
    std::map<std::string, int> runs;

private:
    using call_name = std::pair<std::size_t, std::uint64_t>;

    struct open_call {
        upstream_id upstream;
        call_events events;
        duration way {};
        /** The work, while it runs. */
        timer_id work;
    };

    void start(std::size_t entry, const upstream_call& call, call_events events);

    void arrive(const call_name& name, const std::string& body);

    /** The work is done and its answer on its way. */
    void finish(const call_name& name);

    void timeOut(const call_name& name);

    /** The close of the connection reaches the upstream, which stops the work. */
    void cancel(const call_name& name);

    static region_id regionOfUpstream(const upstream_id& id);

    paused_runtime& m_runtime;
    std::map<call_name, open_call> m_open;
    std::map<upstream_id, std::uint32_t> m_running;
};

} // namespace plantainlatch
