#pragma once

/** \file
 * The hooks by which a front end answers which entries a caller should use.
 */

#include <functional>
#include <vector>

#include "core/clock.h"
#include "model/address.h"
#include "model/vm_settings.h"

namespace plantainlatch {

/** One entry in the order in which a caller should try them. */
struct weighted_entry {
    vm_record vm;
    std::uint32_t weight = 0;
};

/** The entries for callers near one failure domain. */
struct entry_list {
    std::vector<weighted_entry> entries;
    duration cacheTime {};
};

/** The entries that callers should use. */
struct entry_list_port {
    /** Made for one failure domain; an empty one stands for callers of unknown place. */
    std::function<entry_list(const failure_domain_id&)> list;
    /** Adds a listener that is called when any list may have changed, so that encoded answers are made anew. */
    std::function<void(std::function<void()>)> onChange;
};

} // namespace plantainlatch
