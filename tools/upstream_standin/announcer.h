#pragma once

/** \file
 * Announces one upstream to the system, renews the announcement, and deregisters the upstream at the end.
 */

#include <functional>
#include <string>
#include <vector>

#include "kernel/hooks.h"
#include "model/upstream.h"
#include "ports/upstream_port.h"

namespace plantainlatch {

/** Keeps one upstream announced at one of the entries; after a failure, the next entry is tried. */
class announcer {
public:
    /** `nextCall` generates call ids that are unique in the process. */
    announcer(const kernel_hooks& hooks, upstream_port& client, std::vector<network_address> entries,
        upstream_announcement content, std::function<call_id()> nextCall);

    void start();

    /** Ends the renewals and sends the deregistration to one entry after another until one accepts it. Calls `done`
     * when one has accepted it or all have failed. */
    void leave(std::function<void()> done);

private:
    void announce();
    void handleAnswer(const upstream_answer& answer);
    void handleFailure();
    void deregister(std::size_t triesLeft, std::function<void()> done);
    upstream_call makeCall(const std::string& method, const std::string& target, const std::string& body);

    const kernel_hooks& m_hooks;
    upstream_port& m_client;
    std::vector<network_address> m_entries;
    upstream_announcement m_content;
    std::function<call_id()> m_nextCall;
    std::size_t m_entryIndex = 0;
    bool m_leaving = false;
    timer_id m_renewal;
};

} // namespace plantainlatch
