#pragma once

/** \file
 * Logs changes of this VM's copy of the control state, and of the leadership as this VM sees it.
 */

#include <map>
#include <memory>
#include <set>

#include "absl/status/statusor.h"
#include "kernel/hooks.h"
#include "kernel/service.h"
#include "model/vm_settings.h"
#include "ports/consensus_port.h"
#include "ports/control_port.h"

namespace plantainlatch {

/** Compares the control state with its previous value after each change and writes a log line for each difference.
 * Depends on "control" and "consensus". */
class change_log {
public:
    static std::unique_ptr<change_log> create(const kernel_hooks& hooks);

    service asService();

private:
    explicit change_log(const kernel_hooks& hooks);

    absl::Status start(registry& services);
    void compare(const steering_change& change);
    void compareUpstreams(const control_snapshot& state);
    void compareUpstream(const control_snapshot& state, const upstream_id& id);
    void compareDrains(const control_snapshot& state);
    void write(const std::string& what, std::vector<log_field> fields) const;

    kernel_hooks m_hooks;
    control_port* m_control = nullptr;
    consensus_port* m_consensus = nullptr;
    change_number m_number;
    std::map<upstream_id, directory_record> m_upstreams;
    std::set<drain_target> m_drains;
};

} // namespace plantainlatch
