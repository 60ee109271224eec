#include "services/serve_vm.h"

#include <utility>

#include "core/internal_assert.h"
#include "kernel/assign_if_ok.h"
#include "ports/membership_port.h"
#include "ports/port_names.h"
#include "runtime/sockets.h"
#include "services/exposed_state.h"
#include "services/json_log.h"

namespace plantainlatch {

serve_vm::serve_vm(event_loop& loop, const vm_settings& settings)
    : m_loop(loop)
    , m_settings(settings)
    , m_logged(std::make_shared<log_statistics>())
    , m_hooks(loop.hooks(jsonLog(settings.self.id.value(), settings.logLevel, log_stream::Output, m_logged)))
{
}

absl::StatusOr<std::unique_ptr<serve_vm>> serve_vm::create(event_loop& loop, const vm_settings& settings)
{
    std::unique_ptr<serve_vm> vm(new serve_vm(loop, settings));
    // A signal that arrives during the start is handled once the loop runs; without a handler it would end the process.
    absl::Status status = loop.onTerminate([created = vm.get()] { created->beginStop(); });
    if (status.ok())
        status = vm->createParts();
    if (!status.ok())
        return status;
    vm->addServices();
    return vm;
}

absl::Status serve_vm::createParts()
{
    m_budget = buffer_budget::createFor(m_hooks, m_settings.memoryLimit, m_settings.limits);
    absl::Status status = assignIfOk(kernel::create(m_hooks), m_kernel);
    peer_transport_options peers;
    peers.budget = m_budget.get();
    peers.maximumUnauthenticated = unauthenticatedLimit(maximumDescriptors());
    if (status.ok())
        status = createStorage();
    if (status.ok())
        status = assignIfOk(peer_transport::create(m_loop, m_hooks, m_settings, peers), m_peers);
    if (status.ok())
        status = assignIfOk(steering_vm::create(m_hooks, m_settings), m_steering);
    http_server_options options;
    options.limits = m_settings.limits;
    options.budget = m_budget.get();
    if (status.ok())
        status
            = assignIfOk(http_server::create(m_loop.base(), m_hooks, m_settings.self.callerAddress, options), m_server);
    if (!status.ok())
        return status;
    upstream_client_options upstreams;
    upstreams.budget = m_budget.get();
    m_upstreams = upstream_client::create(m_loop.base(), m_hooks, std::move(upstreams));
    m_metrics = metrics::create();
    exposeState(
        *m_metrics, [this] { return m_kernel->dump(); }, m_logged);
    m_announcements = announcement_front::create();
    m_operators = operator_front::create([this] { return m_kernel->dump(); });
    m_callers = caller_front::create(m_hooks, m_settings);
    return absl::OkStatus();
}

absl::Status serve_vm::createStorage()
{
    if (!m_settings.dataFolder)
        return absl::OkStatus();
    return assignIfOk(file_storage::create(m_hooks, *m_settings.dataFolder, posixFiles()), m_storage);
}

void serve_vm::addServices()
{
    if (m_storage != nullptr)
        m_kernel->add(m_storage->asService());
    m_kernel->add(m_budget->asService());
    m_kernel->add(m_peers->asService());
    m_kernel->add(m_upstreams->asService());
    m_steering->addTo(*m_kernel);
    m_kernel->add(m_server->asService());
    m_kernel->add(m_metrics->asService());
    m_kernel->add(m_announcements->asService());
    m_kernel->add(m_operators->asService());
    // Services stop in reverse order: the caller front end stops first, while all others still run.
    m_kernel->add(m_callers->asService());
}

absl::Status serve_vm::start()
{
    absl::Status status = m_kernel->start();
    if (status.ok())
        log(log_level::Info, "started");
    return status;
}

void serve_vm::beginStop()
{
    if (std::exchange(m_stopping, true)) {
        log(log_level::Info, "already stopping");
        return;
    }
    log(log_level::Info, "stopping");
    const absl::StatusOr<membership_port*> membership
        = m_kernel->services().find<membership_port>(port_names::membership);
    internal_assert(membership.ok()) << membership.status().ToString();
    (*membership)->beginStop();
    m_kernel->stop([this] {
        log(log_level::Info, "stopped");
        m_loop.stop();
    });
}

void serve_vm::checkIdle() const
{
    internal_assert(m_server->inFlight() == 0) << m_server->inFlight() << " requests were not answered before the stop";
}

void serve_vm::log(log_level level, const std::string& what) const { m_hooks.log({ level, "serve", what, {} }); }

} // namespace plantainlatch
