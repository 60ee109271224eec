#pragma once

/** \file
 * Looks up the list of entries for one group of callers and selects the entry for each request.
 */

#include <functional>
#include <string>
#include <vector>

#include "kernel/hooks.h"
#include "model/address.h"
#include "ports/upstream_port.h"

namespace plantainlatch {

/** Queries /v1/entries, caches the answer for its cache time, and picks entries by the order and weights of the list.
 */
class entry_source {
public:
    /** `bootstrap` holds the entries that are queried while no listed entry is usable. `near` is the callers' failure
     * domain, or empty. `nextCall` generates call ids that are unique in the process. */
    entry_source(const kernel_hooks& hooks, upstream_port& client, std::vector<network_address> bootstrap,
        std::string near, std::function<call_id()> nextCall);

    /** Starts the look-ups; `onFirstList` is called after the first one that succeeds. */
    void start(std::function<void()> onFirstList);
    void stop();

    /** Returns the entry for a try of a request. The first try (`tryNumber` 0) gets a random entry by weight, and later
     * tries get the next one in the list after `lastTried`. Entries that failed within the last second are skipped if
     * there is another one. Requires that the first list has arrived. */
    network_address pick(std::uint32_t tryNumber, const network_address& lastTried);

    /** Reports that an entry could not be used: pick() avoids it for a second, and a new list is looked up. */
    void reportFailure(const network_address& address);

    std::uint64_t lookups() const { return m_lookups; }
    std::uint64_t failedLookups() const { return m_failedLookups; }

private:
    struct entry {
        network_address address;
        std::uint32_t weight = 0;
        time_point avoidUntil {};
    };

    void lookUp();
    void handleAnswer(const upstream_answer& answer);
    void handleLookupFailure(const network_address& lookupAddress);
    void lookUpAfter(duration delay);
    network_address nextLookupAddress();
    entry* find(const network_address& address);
    std::size_t pickByWeight();

    const kernel_hooks& m_hooks;
    upstream_port& m_client;
    std::vector<network_address> m_bootstrap;
    std::string m_near;
    std::function<call_id()> m_nextCall;
    std::function<void()> m_onFirstList;
    std::vector<entry> m_entries;
    std::size_t m_nextBootstrap = 0;
    bool m_lookupPending = false;
    bool m_stopped = false;
    timer_id m_timer;
    std::uint64_t m_lookups = 0;
    std::uint64_t m_failedLookups = 0;
};

} // namespace plantainlatch
