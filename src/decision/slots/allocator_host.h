#pragma once

/** \file
 * Runs the slot allocators of the regions that the log assigns to this VM, while the leader's lease for that holds.
 */

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "decision/slots/slot_allocator.h"
#include "decision/slots/upstream_health.h"
#include "kernel/hooks.h"
#include "model/vm_settings.h"
#include "ports/control_port.h"
#include "ports/liveness_port.h"
#include "ports/membership_port.h"
#include "ports/upstream_port.h"

namespace plantainlatch {

/** How allocators are run. */
struct allocator_host_options {
    slot_allocator_options allocator;
    upstream_health_options health;
    duration tickInterval = std::chrono::milliseconds(100);
    duration pollInterval = std::chrono::seconds(1);
    duration pollTimeout = std::chrono::milliseconds(800);
    /** Asks upstreams for their load; only tests turn it off. */
    bool polls = true;
};

/** What an allocator_host uses. */
struct allocator_host_ports {
    control_port* control = nullptr;
    membership_port* membership = nullptr;
    liveness_port* liveness = nullptr;
    upstream_port* upstreams = nullptr;
    std::function<void(const addressed_grant&)> send;
};

/** The allocators of this VM. */
class allocator_host {
public:
    allocator_host(const kernel_hooks& hooks, const vm_settings& settings, allocator_host_options options);
    ~allocator_host();
    allocator_host(const allocator_host&) = delete;
    allocator_host& operator=(const allocator_host&) = delete;

    void start(allocator_host_ports ports);
    void stop();

    /** Takes over roles and upstreams after a change of the control state. */
    void follow(const upstream_table& table);
    /** Answers a report if this VM is that region's allocator now. */
    void report(const vm_id& from, const slot_report& report);

    state_dump dump() const;

private:
    struct hosted {
        allocator_epoch epoch;
        slot_allocator allocator;
        upstream_health health;
        std::map<service_id, std::vector<upstream_id>> members;
    };

    void tick();
    void poll();
    void pollUpstream(const region_id& region, const usable_upstream& upstream);
    bool usable(const hosted& item, const upstream_id& id) const;
    void host(const region_id& region, allocator_epoch epoch);
    void sendAll(const std::vector<addressed_grant>& grants);

    kernel_hooks m_hooks;
    vm_settings m_settings;
    allocator_host_options m_options;
    allocator_host_ports m_ports;
    upstream_table m_table;
    std::map<region_id, std::unique_ptr<hosted>> m_hosted;
    timer_id m_tickTimer;
    timer_id m_pollTimer;
    /** Ends the callbacks of polls that outlive this object. */
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace plantainlatch
