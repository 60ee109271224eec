#include "support/consensus_fixture.h"

#include "ports/port_names.h"

namespace plantainlatch {

control_port recording_control::port()
{
    control_port result;
    result.state = [this]() -> const control_snapshot& { return m_state; };
    result.onChange = [](std::function<void()>) {};
    result.apply = [this](const proposal& item) { return apply(item); };
    result.restore = [this](control_snapshot state) { m_state = std::move(state); };
    return result;
}

service recording_control::asService()
{
    service item;
    item.name = port_names::control;
    item.start = [this](registry& services) { return services.publish(port_names::control, m_port); };
    return item;
}

command_result recording_control::apply(const proposal& item)
{
    proposer_record& proposer = m_state.proposers[item.id.vm];
    if (proposer.start != item.id.start) {
        proposer = proposer_record {};
        proposer.start = item.id.start;
    }
    const auto former = proposer.results.find(item.id.sequence);
    if (former != proposer.results.end())
        return former->second;
    if (const auto* declared = std::get_if<apply_declaration>(&item.command))
        m_state.history.push_back({ declared->content, item.proposedAt, item.id.vm });
    if (const auto* started = std::get_if<vm_started>(&item.command))
        m_state.vms[started->record.id] = { started->record, started->start, item.proposedAt };
    return proposer.results[item.id.sequence] = command_result {};
}

std::vector<std::uint64_t> recording_control::numbers() const
{
    std::vector<std::uint64_t> numbers;
    for (const history_record& record : m_state.history)
        numbers.push_back(record.content.number.value());
    return numbers;
}

consensus_cluster::consensus_cluster(int vms, int replicas, std::uint64_t seed, consensus_options initialOptions)
    : runtime(seed)
    , options(initialOptions)
{
    for (int i = 1; i <= vms; ++i) {
        vm_record record;
        record.id = name(i);
        record.replica = i <= replicas;
        m_records.push_back(record);
        m_vms.push_back(std::make_unique<consensus_vm>());
        m_vms.back()->record = record;
        m_vms.back()->disk = std::make_unique<fake_disk>(runtime);
    }
}

consensus_cluster::~consensus_cluster()
{
    for (int i = 1; i <= size(); ++i)
        kill(i);
}

absl::Status consensus_cluster::start(int number)
{
    consensus_vm& item = vm(number);
    item.life = std::make_shared<bool>(true);
    const kernel_hooks hooks = processHooks(runtime, item.life);
    item.peers = network.attach(item.record.id, item.life);
    item.storage = item.disk->attach(item.life);
    item.router = peer_router::create();
    item.control = std::make_unique<recording_control>();
    vm_settings settings;
    settings.self = item.record;
    settings.vms = m_records;
    if (adjustSettings)
        adjustSettings(settings);
    item.subject = *consensus_service::create(hooks, settings, options);
    item.runningKernel = *kernel::create(hooks);
    registry& services = item.runningKernel->services();
    service peers;
    peers.name = port_names::peers;
    peers.start = [&services, &item](registry&) { return services.publish(port_names::peers, item.peers); };
    service storage;
    storage.name = port_names::storage;
    storage.start = [&services, &item](registry&) { return services.publish(port_names::storage, item.storage); };
    item.runningKernel->add(peers);
    item.runningKernel->add(storage);
    item.runningKernel->add(item.router->asService());
    item.runningKernel->add(item.control->asService());
    item.runningKernel->add(item.subject->asService());
    absl::Status status = item.runningKernel->start();
    if (!status.ok()) {
        kill(number);
        return status;
    }
    item.port = *services.find<consensus_port>(port_names::consensus);
    return status;
}

void consensus_cluster::startAll()
{
    for (int i = 1; i <= size(); ++i)
        (void)start(i);
}

void consensus_cluster::kill(int number)
{
    consensus_vm& item = vm(number);
    if (!item.running())
        return;
    item.life.reset();
    item.port = nullptr;
    item.runningKernel.reset();
    item.subject.reset();
    item.router.reset();
    item.disk->crash();
}

bool consensus_cluster::until(const std::function<bool()>& condition, duration limit)
{
    const time_point end = runtime.now() + limit;
    while (!condition()) {
        if (runtime.now() >= end)
            return false;
        runtime.advance(std::chrono::milliseconds(5));
    }
    return true;
}

std::vector<int> consensus_cluster::allLeaders() const
{
    std::vector<int> leaders;
    for (int i = 1; i <= size(); ++i) {
        const consensus_vm& item = *m_vms.at(i - 1);
        if (item.running() && item.port->state().leading)
            leaders.push_back(i);
    }
    return leaders;
}

int consensus_cluster::leader() const
{
    const std::vector<int> leaders = allLeaders();
    return leaders.empty() ? 0 : leaders.front();
}

void consensus_cluster::propose(int number, std::uint64_t declared, duration timeout)
{
    apply_declaration command;
    command.content.number = change_number(declared);
    vm(number).port->propose(command, timeout,
        [this, declared](absl::StatusOr<command_result> result) { results.insert_or_assign(declared, result); });
}

bool consensus_cluster::allApplied(std::uint64_t last) const
{
    std::vector<std::uint64_t> expected;
    for (const auto& item : m_vms) {
        if (!item->running())
            continue;
        const std::vector<std::uint64_t> numbers = item->control->numbers();
        if (numbers.empty() || numbers.back() != last || (!expected.empty() && numbers != expected))
            return false;
        expected = numbers;
    }
    return !expected.empty();
}

} // namespace plantainlatch
