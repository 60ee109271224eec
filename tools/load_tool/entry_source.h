#pragma once

/** \file
 * The entries that one group of callers uses, as the system told it.
 */

#include <functional>
#include <string>
#include <vector>

#include "kernel/hooks.h"
#include "model/address.h"
#include "ports/upstream_port.h"

namespace plantainlatch {

/** Asks /v1/entries, keeps the answer for its cache time, and picks entries by its order and weights. */
class entry_source {
public:
    /** `nextCall` numbers the calls of the process. */
    entry_source(const kernel_hooks& hooks, upstream_port& client, std::vector<network_address> bootstrap,
        std::string near, std::function<call_id()> nextCall);

    /** Asks for the first list; `ready` is called once there is one. */
    void start(std::function<void()> ready);
    void stop();

    /** For a first try: one by the weights. For later tries: those after it in order. An entry that failed lately is
     * passed over while there is another. */
    network_address pick(std::uint32_t tryNumber, const network_address& lastTried);

    /** Notes that an entry could not be used, and asks for a new list. */
    void failed(const network_address& address);

    std::uint64_t lookups() const { return m_lookups; }
    std::uint64_t failedLookups() const { return m_failedLookups; }

private:
    struct entry {
        network_address address;
        std::uint32_t weight = 0;
        time_point avoidUntil {};
    };

    void ask();
    void answered(const upstream_answer& answer);
    void lookupFailed(const network_address& asked);
    void askAfter(duration delay);
    network_address whomToAsk();
    entry* find(const network_address& address);
    std::size_t firstByWeight();

    const kernel_hooks& m_hooks;
    upstream_port& m_client;
    std::vector<network_address> m_bootstrap;
    std::string m_near;
    std::function<call_id()> m_nextCall;
    std::function<void()> m_ready;
    std::vector<entry> m_entries;
    std::size_t m_nextBootstrap = 0;
    bool m_asking = false;
    bool m_stopped = false;
    timer_id m_timer;
    std::uint64_t m_lookups = 0;
    std::uint64_t m_failedLookups = 0;
};

} // namespace plantainlatch
