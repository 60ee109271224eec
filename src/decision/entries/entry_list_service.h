#pragma once

/** \file
 * Entry discovery: computes the weighted list of entries that a caller should use.
 */

#include <functional>
#include <memory>
#include <vector>

#include "absl/status/statusor.h"
#include "kernel/hooks.h"
#include "kernel/service.h"
#include "model/vm_settings.h"
#include "ports/control_port.h"
#include "ports/entry_list_port.h"
#include "ports/membership_port.h"

namespace plantainlatch {

/** Options of entry_list_service. */
struct entry_list_options {
    /** The maximum length of a list. */
    std::size_t maximumEntries = 16;
    /** Leaves out VMs that are dead, stopping or drained, unless all are. */
    bool excludeUnavailable = true;
    /** Lists only entries of the caller's region if it has at least this many; 0 always includes other regions. */
    std::size_t regionOnlyThreshold = 0;
    /** A drain of a failure domain or region leaves out the VMs there as well as the upstreams. */
    bool drainsCoverVms = true;
};

/** Lists entries, the nearest first; published as "entry_list". Sorting a list takes O(n log n) time for n VMs, so
 * front ends cache the encoded lists until a change. With 2,800 VMs, the lists should be computed per region,
 * once per change. */
class entry_list_service {
public:
    static absl::StatusOr<std::unique_ptr<entry_list_service>> create(
        const kernel_hooks& hooks, const vm_settings& settings, entry_list_options options = {});

    /** The kernel service; it depends on "control" and "membership". */
    service asService();

private:
    /** The inputs that the lists are computed from. */
    struct list_inputs {
        std::vector<vm_record> vms;
        std::vector<vm_id> unavailable;

        friend bool operator==(const list_inputs&, const list_inputs&) = default;
    };

    entry_list_service(const vm_settings& settings, entry_list_options options);

    absl::Status start(registry& services);
    list_inputs collectInputs() const;
    void refresh();
    entry_list list(const failure_domain_id& near) const;

    vm_settings m_settings;
    entry_list_options m_options;
    entry_list_port m_port;
    control_port* m_control = nullptr;
    membership_port* m_membership = nullptr;
    list_inputs m_inputs;
    std::vector<std::function<void()>> m_listeners;
};

} // namespace plantainlatch
