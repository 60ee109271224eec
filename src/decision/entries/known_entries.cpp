#include "decision/entries/known_entries.h"

namespace plantainlatch {

std::vector<vm_id> knownEntries(const control_snapshot& state)
{
    std::vector<vm_id> entries;
    for (const auto& [vm, started] : state.vms) {
        if (started.record.entry && !started.stopped)
            entries.push_back(vm);
    }
    return entries;
}

} // namespace plantainlatch
