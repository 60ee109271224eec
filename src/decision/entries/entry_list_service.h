#pragma once

/** \file
 * The service that tells callers which entries to use.
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

/** What may be varied in entry_list_service. */
struct entry_list_options {
    /** The most entries in one list. */
    std::size_t maximumEntries = 16;
    /** Leaves out VMs that are dead, stopping or drained. */
    bool excludeUnavailable = true;
    /** Entries of the caller's region alone are listed once there are so many; 0 lists the others too. */
    std::size_t regionOnlyThreshold = 0;
    /** A drain of a place takes the VMs there out too, and not only its upstreams. */
    bool drainsCoverVms = true;
};

/** Lists entries, the nearest first; published as "entry_list". A list costs time in proportion to the number of VMs,
 * and front ends keep the encoded lists until a change. At 2,800 nodes each region's list is made once for a change. */
class entry_list_service {
public:
    static absl::StatusOr<std::unique_ptr<entry_list_service>> create(
        const kernel_hooks& hooks, const vm_settings& settings, entry_list_options options = {});

    /** The kernel service; it needs "control" and "membership". */
    service asService();

private:
    /** What the lists depend on. */
    struct list_basis {
        std::vector<vm_record> vms;
        std::vector<vm_id> unfit;

        friend bool operator==(const list_basis&, const list_basis&) = default;
    };

    entry_list_service(const vm_settings& settings, entry_list_options options);

    absl::Status start(registry& services);
    list_basis findBasis() const;
    void refresh();
    entry_list list(const failure_domain_id& near) const;

    vm_settings m_settings;
    entry_list_options m_options;
    entry_list_port m_port;
    control_port* m_control = nullptr;
    membership_port* m_membership = nullptr;
    list_basis m_basis;
    std::vector<std::function<void()>> m_listeners;
};

} // namespace plantainlatch
