#pragma once

/** \file
 * Enforces the quotas of client accounts over all entries.
 */

#include <memory>
#include <optional>

#include "absl/status/statusor.h"
#include "decision/quotas/entry_quotas.h"
#include "decision/quotas/quota_division.h"
#include "kernel/hooks.h"
#include "kernel/service.h"
#include "model/vm_settings.h"
#include "ports/consensus_port.h"
#include "ports/control_port.h"
#include "ports/membership_port.h"
#include "ports/quota_port.h"

namespace plantainlatch {

/** Charges requests on an entry, and leases quotas on the leader. The service is on every VM; only entries publish the
 * port "quotas". */
class quota_service {
public:
    static absl::StatusOr<std::unique_ptr<quota_service>> create(
        const kernel_hooks& hooks, const vm_settings& settings, quota_division_options options = {});

    /** The kernel service; it depends on "control", "consensus" and "membership". */
    service asService();

private:
    quota_service(const kernel_hooks& hooks, const vm_settings& settings, quota_division_options options);

    absl::Status start(registry& services);
    void update();
    /** The accounts of the configuration in force, with the slack added to their quotas. */
    const std::map<account_id, client_account>& accounts();
    quota_verdict acquire(const account_id& account);
    /** The leases that this VM grants as the leader of the present term. */
    quota_leases& leases();
    state_dump dump() const;

    kernel_hooks m_hooks;
    vm_settings m_settings;
    quota_division_options m_options;
    quota_port m_port;
    control_port* m_control = nullptr;
    consensus_port* m_consensus = nullptr;
    membership_port* m_membership = nullptr;
    std::map<account_id, client_account> m_accounts;
    change_number m_accountsNumber;
    std::optional<entry_quotas> m_entry;
    std::optional<quota_leases> m_leases;
    log_term m_leasesTerm;
};

} // namespace plantainlatch
