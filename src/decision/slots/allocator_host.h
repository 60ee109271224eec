#pragma once

/** \file
 * Runs the slot allocators of the regions that the replicated log assigns to this VM. An allocator sends grants only
 * while this VM holds the region's allocator lease from the leader.
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

struct allocator_host_options {
    slot_allocator_options allocator;
    upstream_health_options health;
    /** Interval of slot_allocator::tick(). */
    duration tickInterval = std::chrono::milliseconds(100);
    /** Interval and time-out of the polls of the upstreams for load reports. */
    duration pollInterval = std::chrono::seconds(1);
    duration pollTimeout = std::chrono::milliseconds(800);
    /** Polls the load of upstreams; only tests turn it off. */
    bool polls = true;
};

struct allocator_host_ports {
    control_port* control = nullptr;
    membership_port* membership = nullptr;
    liveness_port* liveness = nullptr;
    upstream_port* upstreams = nullptr;
    std::function<void(const addressed_grant&)> send;
};

class allocator_host {
public:
    allocator_host(const kernel_hooks& hooks, const vm_settings& settings, allocator_host_options options);
    ~allocator_host();
    allocator_host(const allocator_host&) = delete;
    allocator_host& operator=(const allocator_host&) = delete;

    void start(allocator_host_ports ports);
    void stop();

    /** Starts and stops allocators and updates their upstreams after a change of the control state. */
    void applyControlState(const upstream_table& table);
    /** Answers a report if this VM is the region's allocator and has its lease. */
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
    void startAllocator(const region_id& region, allocator_epoch epoch);
    void sendAll(const std::vector<addressed_grant>& grants);

    kernel_hooks m_hooks;
    vm_settings m_settings;
    allocator_host_options m_options;
    allocator_host_ports m_ports;
    upstream_table m_table;
    std::map<region_id, std::unique_ptr<hosted>> m_hosted;
    timer_id m_tickTimer;
    timer_id m_pollTimer;
    /** False after stop(): callbacks of polls that are still pending then do nothing. */
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace plantainlatch
