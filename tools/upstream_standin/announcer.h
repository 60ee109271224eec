#pragma once

/** \file
 * Announces one upstream to the system, renews, and says goodbye.
 */

#include <functional>
#include <string>
#include <vector>

#include "kernel/hooks.h"
#include "model/upstream.h"
#include "ports/upstream_port.h"

namespace plantainlatch {

/** Keeps one upstream announced at any one of the entries. */
class announcer {
public:
    /** `nextCall` numbers the calls of the process. */
    announcer(const kernel_hooks& hooks, upstream_port& client, std::vector<network_address> entries,
        upstream_announcement content, std::function<call_id()> nextCall);

    void start();

    /** Ends the renewals and says goodbye to the entries in turn until one accepts it; then calls `done`, also when
     * none did. */
    void leave(std::function<void()> done);

private:
    void announce();
    void answered(const upstream_answer& answer);
    void failed();
    void sendGoodbye(std::size_t triesLeft, std::function<void()> done);
    upstream_call makeCall(const std::string& method, const std::string& target, const std::string& body);

    const kernel_hooks& m_hooks;
    upstream_port& m_client;
    std::vector<network_address> m_entries;
    upstream_announcement m_content;
    std::function<call_id()> m_nextCall;
    std::size_t m_entry = 0;
    bool m_leaving = false;
    timer_id m_renewal;
};

} // namespace plantainlatch
