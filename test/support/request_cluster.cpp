#include "support/request_cluster.h"

#include "core/internal_assert.h"
#include "ports/port_names.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    service portService(const std::string& name, std::function<absl::Status(registry&)> publish)
    {
        service item;
        item.name = name;
        item.start = std::move(publish);
        return item;
    }

    template <typename Port> service portService(const std::string& name, Port& port)
    {
        return portService(name, [name, &port](registry& services) { return services.publish(name, port); });
    }

    service_definition tallerDefinition()
    {
        service_definition definition;
        definition.id = service_id("taller");
        definition.connections = 390;
        definition.defaultDeadline = 1s;
        definition.maximumDeadline = 10s;
        definition.maximumBody = byte_count(1024);
        definition.keyRetention = 1h;
        return definition;
    }

} // namespace

request_cluster::request_cluster(std::uint64_t seed, std::size_t entryCount, std::size_t upstreamCount,
    std::uint32_t slots, request_options requestOptions)
    : runtime(seed)
    , log(runtime)
    , upstreams(runtime, service_id("taller"), upstreamCount, slots)
    , options(std::move(requestOptions))
    , entries(entryCount)
{
    log.state.config.number = change_number(1);
    log.state.config.services.emplace(service_id("taller"), tallerDefinition());
    m_quotas.acquire = [this](const account_id& account) {
        charged.push_back(account);
        return quotaVerdict;
    };
    m_quotas.refund = [this](const account_id& account) { refunded.push_back(account); };
    for (std::size_t i = 0; i < entryCount; ++i)
        start(i);
}

void request_cluster::start(std::size_t entry)
{
    fake_entry created;
    vm_settings settings;
    settings.self.id = vm_id("vm" + std::to_string(entry));
    settings.vms.assign(entries.size(), settings.self);
    created.core = *kernel::create(runtime.hooks());
    created.log = std::make_unique<fake_log_member>(log, settings.self.id, incarnation(++m_starts));
    created.ports = upstreams.ports();
    created.portsIndex = m_portsCount++;
    created.requests = *request_service::create(runtime.hooks(), settings, options);
    entries[entry] = std::move(created);
    fake_entry& started = entries[entry];
    started.core->add(portService(port_names::control, started.log->control));
    started.core->add(portService(port_names::consensus, started.log->consensus));
    started.core->add(portService(port_names::slots, started.ports.slots));
    started.core->add(portService(port_names::upstreams, started.ports.upstreams));
    started.membership.leaderContactAge = [this] { return contactAge; };
    started.core->add(portService(port_names::membership, started.membership));
    started.core->add(portService(port_names::quotas, m_quotas));
    started.core->add(started.requests->asService());
    const absl::Status status = started.core->start();
    internal_assert(status.ok()) << status.message();
    started.port = *started.core->services().find<request_port>(port_names::requests);
}

void request_cluster::kill(std::size_t entry)
{
    upstreams.killEntry(entries[entry].portsIndex);
    entries[entry].requests.reset();
    entries[entry].port = nullptr;
    m_killed.push_back(std::move(entries[entry]));
}

caller_record& request_cluster::send(std::size_t entry, caller_request request)
{
    sent.push_back(std::make_unique<caller_record>());
    caller_record& record = *sent.back();
    record.entry = entry;
    record.body = request.target + request.body.bytes();
    request.service = request.service.empty() ? service_id("taller") : request.service;
    record.id = entries[entry].port->submit(std::move(request), [&record](caller_answer answer) {
        record.answer = std::move(answer);
        ++record.answers;
    });
    return record;
}

caller_record& request_cluster::get(std::size_t entry, const std::string& target)
{
    caller_request request;
    request.method = "GET";
    request.target = target;
    return send(entry, std::move(request));
}

caller_record& request_cluster::post(std::size_t entry, const std::string& body, std::optional<std::string> key)
{
    caller_request request;
    request.method = "POST";
    request.target = "/orders";
    request.body = body;
    if (key)
        request.key = idempotency_key(*key);
    return send(entry, std::move(request));
}

} // namespace plantainlatch
