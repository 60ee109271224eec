#include "support/control_cluster.h"

#include <stdexcept>

#include "support/control_fixture.h"

namespace plantainlatch {

namespace {

    template <typename Port> service portService(const char* name, Port& port)
    {
        service item;
        item.name = name;
        item.start = [name, &port](registry& services) { return services.publish(name, port); };
        return item;
    }

    std::vector<vm_record> makeRecords(std::size_t size)
    {
        const std::vector<std::pair<std::string, std::string>> locations
            = { { "fukuoka", "kokura" }, { "kumamoto", "chuo-ku" }, { "kagoshima", "tenmonkan" },
                  { "fukuoka", "hakata" }, { "kumamoto", "yatsushiro" }, { "kagoshima", "kirishima" } };
        std::vector<vm_record> records;
        for (std::size_t i = 0; i < size; ++i) {
            const auto& [region, domain] = locations[i % locations.size()];
            records.push_back(vmRecord(std::string(1, static_cast<char>('a' + i)), region, domain));
        }
        return records;
    }

} // namespace

control_cluster::control_cluster(std::uint64_t seed, std::size_t size, membership_options options,
    std::function<void(control_cluster&, cluster_vm&)> add)
    : runtime(seed)
{
    const std::vector<vm_record> records = makeRecords(size);
    for (std::size_t i = 0; i < size; ++i)
        makeVm(records, i, options);
    setLeader("a");
    for (auto& [id, created] : vms) {
        if (add)
            add(*this, *created);
        const absl::Status status = created->root->start();
        if (!status.ok())
            throw std::runtime_error(std::string(status.message()));
    }
}

void control_cluster::makeVm(const std::vector<vm_record>& records, std::size_t position, membership_options options)
{
    auto created = std::make_unique<cluster_vm>();
    cluster_vm& item = *created;
    item.settings.self = records[position];
    item.settings.vms = records;
    item.start = incarnation(runtime.random());
    const vm_id id = item.settings.self.id;
    item.root = *kernel::create(runtime.hooks());
    item.control = *control_service::create(runtime.hooks(), item.settings);
    item.router = peer_router::create();
    item.membership = *membership_service::create(runtime.hooks(), item.settings, options);
    item.peers.send = [this, id](const vm_id& to, const peer_message& message) { send(id, to, message); };
    item.peers.setReceiver = [&item](auto receiver) { item.receiver = std::move(receiver); };
    makeConsensus(item);
    item.root->add(portService(port_names::peers, item.peers));
    item.root->add(portService(port_names::consensus, item.consensus));
    item.root->add(item.control->asService());
    item.root->add(item.router->asService());
    item.root->add(item.membership->asService());
    vms[id] = std::move(created);
}

void control_cluster::makeConsensus(cluster_vm& created)
{
    const vm_id id = created.settings.self.id;
    created.consensus.propose = [this, &created, id](const control_command& command, duration timeout, auto done) {
        proposal_id name { id, created.start, ++created.sequence };
        runtime.schedule(randomDelay(), [this, id, name, command, timeout, done] {
            if (isCut(id) || isCut(leader)) {
                runtime.schedule(
                    timeout, [done] { done(absl::DeadlineExceededError("the VM or the leader is isolated")); });
                return;
            }
            append({ name, runtime.hooks().wallNow(), command }, [this, done](const command_result& result) {
                runtime.schedule(randomDelay(), [done, result] { done(result); });
            });
        });
        return name;
    };
    created.consensus.readBarrier = [this, &created, id](duration timeout, std::function<void(absl::Status)> done) {
        runtime.schedule(randomDelay(), [this, &created, id, timeout, done] {
            if (isCut(id) || isCut(leader)) {
                runtime.schedule(timeout, [done] { done(absl::DeadlineExceededError("no leader")); });
                return;
            }
            catchUp(created);
            done(absl::OkStatus());
        });
    };
    created.consensus.state = [this, id] { return stateOf(id); };
    created.consensus.onLeadership
        = [&created](auto listener) { created.leadershipListeners.push_back(std::move(listener)); };
    created.consensus.applied = [&created] { return log_index(created.applied); };
    created.consensus.voters = [this] {
        voter_set set;
        for (const auto& [vm, item] : vms)
            set.voters.insert({ vm, incarnation(1) });
        return set;
    };
    created.consensus.followerAppliedIndices = [] { return std::vector<std::pair<vm_id, log_index>>(); };
}

leadership control_cluster::stateOf(const vm_id& vm) const
{
    return { leader, term, vm == leader && !isCut(vm), !isCut(vm) };
}

duration control_cluster::randomDelay()
{
    return duration(static_cast<std::int64_t>(runtime.random() % static_cast<std::uint64_t>(maximumDelay.count() + 1)));
}

void control_cluster::setLeader(const std::string& name)
{
    leader = vm_id(name);
    term = term.next();
    // A leader can be elected only if it has all committed entries.
    cluster_vm& elected = *vms.at(leader);
    if (elected.root != nullptr && elected.receiver)
        catchUp(elected);
    for (auto& [id, item] : vms) {
        for (const auto& listener : item->leadershipListeners)
            listener(stateOf(id));
    }
}

void control_cluster::send(const vm_id& from, const vm_id& to, const peer_message& message)
{
    runtime.schedule(randomDelay(), [this, from, to, message] {
        if (!isCut(from) && !isCut(to) && vms.at(to)->receiver)
            vms.at(to)->receiver(from, message);
    });
}

void control_cluster::append(const proposal& item, std::function<void(command_result)> applied)
{
    m_log.push_back(item);
    cluster_vm& leaderVm = *vms.at(leader);
    while (leaderVm.applied + 1 < m_log.size())
        leaderVm.port<control_port>(port_names::control).apply(m_log[leaderVm.applied++]);
    ++leaderVm.applied;
    const command_result result = leaderVm.port<control_port>(port_names::control).apply(item);
    for (auto& [id, follower] : vms)
        runtime.schedule(randomDelay(), [this, &follower = *follower] { catchUp(follower); });
    applied(result);
}

void control_cluster::catchUp(cluster_vm& follower)
{
    if (isCut(follower.settings.self.id)) {
        runtime.schedule(std::chrono::milliseconds(500), [this, &follower] { catchUp(follower); });
        return;
    }
    while (follower.applied < m_log.size())
        follower.port<control_port>(port_names::control).apply(m_log[follower.applied++]);
}

command_result control_cluster::apply(control_command command)
{
    cluster_vm& leaderVm = *vms.at(leader);
    command_result result;
    append({ { leader, leaderVm.start, ++leaderVm.sequence }, runtime.hooks().wallNow(), std::move(command) },
        [&result](command_result applied) { result = std::move(applied); });
    return result;
}

} // namespace plantainlatch
