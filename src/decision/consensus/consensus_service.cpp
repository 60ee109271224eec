#include "decision/consensus/consensus_service.h"

#include <algorithm>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "ports/port_names.h"

namespace plantainlatch {

namespace {

    absl::Status checkVms(const vm_settings& settings)
    {
        std::set<vm_id> seen;
        for (const vm_record& vm : settings.vms) {
            if (!seen.insert(vm.id).second)
                return absl::InvalidArgumentError(absl::StrCat("VM '", vm.id.value(), "' is listed twice"));
        }
        if (!seen.contains(settings.self.id))
            return absl::InvalidArgumentError(
                absl::StrCat("VM '", settings.self.id.value(), "' is not in the list of VMs"));
        return absl::OkStatus();
    }

    bool sameLeadership(const leadership& left, const leadership& right)
    {
        return left.leader == right.leader && left.term == right.term && left.leading == right.leading
            && left.current == right.current;
    }

    const char* roleName(replica_role role)
    {
        switch (role) {
        case replica_role::Follower:
            return "follower";
        case replica_role::PreCandidate:
            return "pre-candidate";
        case replica_role::Candidate:
            return "candidate";
        case replica_role::Leader:
            return "leader";
        }
        return "?";
    }

} // namespace

absl::StatusOr<std::unique_ptr<consensus_service>> consensus_service::create(
    const kernel_hooks& hooks, const vm_settings& settings, consensus_options options)
{
    const absl::Status status = checkVms(settings);
    if (!status.ok())
        return status;
    return std::unique_ptr<consensus_service>(new consensus_service(hooks, settings, options));
}

consensus_service::consensus_service(const kernel_hooks& hooks, const vm_settings& settings, consensus_options options)
    : m_hooks(hooks)
    , m_replica(hooks, settings, withinMemory(options, settings.memoryLimit))
    , m_leader(m_replica)
    , m_follower(m_replica, [this] { m_election.resetElectionTimeout(); })
    , m_election(
          m_replica, [this] { m_leader.startTerm(); }, [this] { return m_leader.leaseStart(); })
    , m_proposals(m_replica, m_leader, incarnation(hooks.random() | 1))
    , m_joiner(m_replica, m_leader)
    , m_port(makePort())
{
}

consensus_service::~consensus_service() { m_hooks.cancel(m_tick); }

service consensus_service::asService()
{
    service item;
    item.name = port_names::consensus;
    item.dependencies = { port_names::peerRouter, port_names::control };
    if (m_replica.settings().self.replica)
        item.dependencies.push_back(port_names::storage);
    item.start = [this](registry& services) { return start(services); };
    item.stop = [this](std::function<void()> stopped) { stop(std::move(stopped)); };
    item.dump = [this] { return dump(); };
    return item;
}

absl::Status consensus_service::start(registry& services)
{
    absl::StatusOr<peer_router*> peers = services.find<peer_router>(port_names::peerRouter);
    if (!peers.ok())
        return peers.status();
    absl::StatusOr<control_port*> control = services.find<control_port>(port_names::control);
    if (!control.ok())
        return control.status();
    replica::dependencies dependencies { *peers, *control, nullptr };
    if (m_replica.settings().self.replica) {
        absl::StatusOr<storage_port*> storage = services.find<storage_port>(port_names::storage);
        if (!storage.ok())
            return storage.status();
        dependencies.storage = *storage;
    }
    absl::Status loaded = m_replica.load(dependencies);
    if (!loaded.ok())
        return loaded;
    m_replica.setAppliedListener(
        [this](const proposal& item, const command_result& result) { onApplied(item, result); });
    m_replica.setFailureListener([this] { updateLeadership(); });
    (*peers)->subscribeConsensus(
        [this](const vm_id& from, const consensus_message& message) { receive(from, message); });
    m_joiner.start();
    m_election.start();
    m_tick = m_hooks.schedule(duration::zero(), [this] { onTick(); });
    return services.publish(port_names::consensus, m_port);
}

consensus_port consensus_service::makePort()
{
    consensus_port port;
    port.propose = [this](control_command command, duration timeout, proposal_queue::result_callback callback) {
        return m_proposals.propose(std::move(command), timeout, std::move(callback));
    };
    port.readBarrier = [this](duration timeout, std::function<void(absl::Status)> callback) {
        m_proposals.readBarrier(timeout, std::move(callback));
    };
    port.state = [this] { return currentLeadership(); };
    port.onLeadership
        = [this](std::function<void(const leadership&)> listener) { m_listeners.push_back(std::move(listener)); };
    port.transferLeadership
        = [this](duration timeout, std::function<void()> done) { transferLeadership(timeout, std::move(done)); };
    port.applied = [this] { return m_replica.applied(); };
    port.setSeeds = [this](std::vector<vm_id> seeds) { m_joiner.setSeeds(std::move(seeds)); };
    port.voters = [this] { return m_replica.log().voters(); };
    port.followerAppliedIndices = [this] { return m_leader.followerAppliedIndices(); };
    return port;
}

void consensus_service::onTick()
{
    m_tick = m_hooks.schedule(m_replica.options().tick, [this] { onTick(); });
    m_replica.onTick();
    m_leader.onTick();
    m_election.onTick();
    m_joiner.onTick();
    m_proposals.onTick();
    updateLeadership();
    if (m_transferDone && m_hooks.now() >= m_transferEnd)
        finishTransfer();
}

void consensus_service::receive(const vm_id& from, const consensus_message& message)
{
    struct receiver {
        consensus_service& service;
        const vm_id& from;

        void operator()(const vote_request& item) const { service.m_election.onVoteRequest(from, item); }
        void operator()(const vote_answer& item) const { service.m_election.onVoteAnswer(item); }
        void operator()(const append_request& item) const { service.receiveAppend(from, item); }
        void operator()(const append_answer& item) const { service.m_leader.onAppendAnswer(from, item); }
        void operator()(const snapshot_request& item) const { service.m_follower.onSnapshot(from, item); }
        void operator()(const transfer_request& item) const { service.m_election.onTransferRequest(item); }
        void operator()(const join_request& item) const { service.m_joiner.onJoinRequest(from, item); }
        void operator()(const join_answer& item) const { service.m_joiner.onJoinAnswer(from, item); }
        void operator()(const propose_request& item) const { service.m_proposals.onRequest(from, item); }
        void operator()(const propose_answer& item) const { service.m_proposals.onAnswer(item); }
    };
    std::visit(receiver { *this, from }, message);
    updateLeadership();
}

void consensus_service::receiveAppend(const vm_id& from, const append_request& request)
{
    if (log_joiner::isFirstEntry(request))
        m_joiner.onFirstEntry(request);
    else
        m_follower.onAppend(from, request);
}

void consensus_service::onApplied(const proposal& item, const command_result& result)
{
    m_leader.onApplied(item.id);
    m_proposals.onResult(item.id, result);
    if (m_replica.role() == replica_role::Leader && item.id.vm != m_replica.vm())
        m_replica.send(item.id.vm, propose_answer { item.id, result, m_replica.vm() });
}

leadership consensus_service::currentLeadership() const
{
    leadership now { m_replica.leader().vm, m_replica.term() };
    if (m_replica.role() == replica_role::Leader) {
        now.leading = m_leader.holdsLease() && m_leader.hasAppliedOwnTerm();
        now.current = now.leading;
        return now;
    }
    const consensus_options& options = m_replica.options();
    const time_point end = m_replica.lastLeaderContact() + options.electionTimeout - options.leaseMargin;
    now.current = m_replica.leader() != replica_id {} && m_hooks.now() < end && m_follower.caughtUp();
    return now;
}

void consensus_service::updateLeadership()
{
    const leadership now = currentLeadership();
    if (sameLeadership(now, m_lastLeadership))
        return;
    const bool isOtherLeader = now.leader != m_lastLeadership.leader || now.term != m_lastLeadership.term;
    m_lastLeadership = now;
    if (isOtherLeader && !now.leader.empty())
        m_proposals.onLeaderChange();
    for (std::size_t i = 0; i < m_listeners.size(); ++i)
        m_listeners[i](now);
    if (m_transferDone && !now.leader.empty() && now.leader != m_replica.vm())
        finishTransfer();
}

void consensus_service::transferLeadership(duration timeout, std::function<void()> done)
{
    const bool isOnlyVoter = m_replica.log().voters().voters.size() <= 1;
    if (m_replica.role() != replica_role::Leader || isOnlyVoter || m_transferDone) {
        done();
        return;
    }
    m_transferDone = std::move(done);
    m_transferEnd = m_hooks.now() + timeout;
    m_leader.startTransfer();
}

void consensus_service::finishTransfer()
{
    const std::function<void()> done = std::exchange(m_transferDone, nullptr);
    done();
}

void consensus_service::stop(std::function<void()> stopped)
{
    transferLeadership(m_replica.options().transferTimeout, [this, stopped = std::move(stopped)] {
        m_hooks.cancel(m_tick);
        stopped();
    });
}

state_dump consensus_service::dump() const
{
    const leadership now = currentLeadership();
    state_dump root(port_names::consensus);
    root.add("role", roleName(m_replica.role()));
    root.add("leader", now.leader.value());
    root.add("term", now.term.value());
    root.add("leading", now.leading);
    root.add("current", now.current);
    root.add("disk", m_replica.hasDisk());
    root.add("last_index", m_replica.log().lastIndex().value());
    root.add("log_entries", m_replica.log().lastIndex().value() - m_replica.log().base().value());
    root.add("log_bytes", m_replica.log().bytes());
    root.add("committed", m_replica.committed().value());
    root.add("applied", m_replica.applied().value());
    root.add("pending_proposals", static_cast<std::uint64_t>(m_proposals.size()));
    const replication_statistics replication = m_leader.statistics();
    const auto longestLag = std::chrono::duration_cast<std::chrono::milliseconds>(replication.longestLag).count();
    root.add("followers", replication.followers);
    root.add("followers_behind", replication.followersBehind);
    root.add("longest_lag_ms", static_cast<std::uint64_t>(longestLag));
    root.add("entry_bytes_sent", replication.sentBytes);
    root.add("entry_bytes_resent", replication.resentBytes);
    root.add("snapshots_sent", replication.snapshotsSent);
    state_dump& voters = root.addList("voters");
    for (const replica_id& voter : m_replica.log().voters().voters)
        voters.add("", voter.vm.value());
    return root;
}

} // namespace plantainlatch
