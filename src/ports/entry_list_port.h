#pragma once

/** \file
 * The interface through which front ends look up the entries that a caller should use.
 */

#include <functional>
#include <vector>

#include "core/clock.h"
#include "model/address.h"
#include "model/vm_settings.h"

namespace plantainlatch {

/** An entry with its load-balancing weight. */
struct weighted_entry {
    vm_record vm;
    std::uint32_t weight = 0;
};

/** The entries for the callers of one failure domain, in the order in which to try them. */
struct entry_list {
    std::vector<weighted_entry> entries;
    /** How long a caller may cache the list. */
    duration cacheTime {};
};

struct entry_list_port {
    /** The list for callers of one failure domain; an empty id stands for callers whose failure domain is unknown. */
    std::function<entry_list(const failure_domain_id&)> list;
    /** Adds a listener that is called when any list may have changed, so that cached encodings are dropped. */
    std::function<void(std::function<void()>)> onChange;
};

} // namespace plantainlatch
