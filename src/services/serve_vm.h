#pragma once

/** \file
 * Assembles one VM of the system as a process: the decision code and the services that perform its input and output.
 */

#include <memory>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "decision/vm/steering_vm.h"
#include "kernel/kernel.h"
#include "model/vm_settings.h"
#include "runtime/event_loop.h"
#include "services/announcement_front.h"
#include "services/buffer_budget.h"
#include "services/caller_front.h"
#include "services/file_storage.h"
#include "services/http_server.h"
#include "services/log_statistics.h"
#include "services/metrics.h"
#include "services/operator_front.h"
#include "services/peer_transport.h"
#include "services/upstream_client.h"

namespace plantainlatch {

/** All services of one VM on one event loop. */
class serve_vm {
public:
    /** Fails if the caller address, the data folder or the shared key can't be used. The loop must outlive the VM. */
    static absl::StatusOr<std::unique_ptr<serve_vm>> create(event_loop& loop, const vm_settings& settings);

    /** Starts all services and installs handlers for SIGTERM and SIGINT, which begin a graceful stop that ends the
     * loop. A second signal has no effect. */
    absl::Status start();

    /** Asserts that no request was in flight when the loop ended. */
    void checkIdle() const;

private:
    serve_vm(event_loop& loop, const vm_settings& settings);

    absl::Status createParts();
    absl::Status createStorage();
    void addServices();
    void beginStop();
    void log(log_level level, const std::string& what) const;

    event_loop& m_loop;
    vm_settings m_settings;
    std::shared_ptr<log_statistics> m_logged;
    kernel_hooks m_hooks;
    // The kernel refers to the services, so it is declared after them and thus destroyed before them.
    std::unique_ptr<buffer_budget> m_budget;
    std::unique_ptr<file_storage> m_storage;
    std::unique_ptr<peer_transport> m_peers;
    std::unique_ptr<upstream_client> m_upstreams;
    std::unique_ptr<steering_vm> m_steering;
    std::unique_ptr<http_server> m_server;
    std::unique_ptr<metrics> m_metrics;
    std::unique_ptr<announcement_front> m_announcements;
    std::unique_ptr<operator_front> m_operators;
    std::unique_ptr<caller_front> m_callers;
    std::unique_ptr<kernel> m_kernel;
    bool m_stopping = false;
};

} // namespace plantainlatch
