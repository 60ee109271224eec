#pragma once

/** \file
 * Entries as on the platform, whose callers poll pages while upstreams end and some requests crash them.
 */

#include <string>

#include "support/request_cluster.h"

namespace plantainlatch {

/** A system under a constant load of equal requests, in simulated time. */
class polled_pages {
public:
    /** The bound on the time from the end of a disturbance until sound requests are served again. */
    static constexpr duration recoveryTime = std::chrono::seconds(15);
    static constexpr std::size_t callerCount = 30;

    polled_pages(std::uint64_t seed, std::size_t entryCount, std::size_t upstreamCount, std::uint32_t slots);

    /** Sends a request from a caller to an entry. Upstreams crash while they run it if `crashes` is set. */
    caller_record& send(
        std::size_t entry, std::uint64_t caller, const std::string& target, bool crashes = false, bool isPost = false);

    /** Polls a page for `span`, with a pause after each request; callers and entries take turns. */
    void poll(duration span, duration pause, const std::string& target, bool isPost = false);

    /** How many of the requests that were sent from `begin` on were not served by an upstream. */
    std::size_t unservedSince(std::size_t begin) const;

    request_cluster cluster;
    /** How long the work on a request takes. */
    duration work = std::chrono::milliseconds(880);
    /** When requests that crash their upstream were dispatched. */
    std::vector<time_point> crashingCalls;

private:
    std::size_t m_polls = 0;
};

} // namespace plantainlatch
