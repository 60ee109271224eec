#include "decision/entries/entry_count.h"

#include <algorithm>

namespace plantainlatch {

std::size_t entryCount(const control_snapshot& state)
{
    return static_cast<std::size_t>(std::count_if(state.vms.begin(), state.vms.end(),
        [](const auto& item) { return item.second.record.entry && !item.second.stopped; }));
}

} // namespace plantainlatch
