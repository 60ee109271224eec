#include "decision/consensus/replica.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "core/internal_assert.h"
#include "model/approximate_size.h"

namespace plantainlatch {

replica::replica(kernel_hooks hooks, vm_settings settings, consensus_options options)
    : m_hooks(std::move(hooks))
    , m_settings(std::move(settings))
    , m_options(options)
{
}

absl::Status replica::load(dependencies services)
{
    m_dependencies = services;
    // This VM may have extended a leader's lease just before it restarted, so it waits for a full election timeout
    // before it votes.
    m_lastLeaderContact = m_hooks.now();
    if (m_dependencies.storage == nullptr) {
        assignNewIdentity();
        return absl::OkStatus();
    }
    absl::StatusOr<recovered_state> recovered = m_dependencies.storage->load();
    if (!recovered.ok())
        return recovered.status();
    return restore(std::move(*recovered));
}

void replica::assignNewIdentity()
{
    const std::uint64_t disk = mechanisms().newIdentityOnBlankDisk ? m_hooks.random() | 1 : 1;
    m_self = { vm(), incarnation(disk) };
}

absl::Status replica::restore(recovered_state found)
{
    if (!found.state) {
        if (found.snapshot || !found.entries.empty())
            return absl::DataLossError("the data folder has a log, but no record of the replica that it belongs to");
        assignNewIdentity();
        return absl::OkStatus();
    }
    if (found.state->self.vm != vm())
        return absl::InvalidArgumentError(
            absl::StrCat("the data folder belongs to VM '", found.state->self.vm.value(), "'"));
    m_self = found.state->self;
    m_term = found.state->term;
    m_votedFor = found.state->votedFor;
    if (found.snapshot) {
        m_log.reset(found.snapshot->index, found.snapshot->term, found.snapshot->voters);
        m_dependencies.control->restore(std::move(found.snapshot->state));
        m_committed = m_applied = m_snapshotIndex = m_log.base();
    }
    for (log_entry& entry : found.entries)
        m_log.append(std::move(entry));
    m_writes.setDurableIndex(m_log.lastIndex());
    return absl::OkStatus();
}

void replica::noteLeaderContact(const replica_id& leader)
{
    internal_assert(m_leader == replica_id {} || m_leader == leader)
        << "two leaders of term " << m_term.value() << ": " << m_leader.vm.value() << " and " << leader.vm.value();
    internal_assert(m_role != replica_role::Leader)
        << "term " << m_term.value() << " has a second leader, " << leader.vm.value() << ", besides this VM";
    m_leader = leader;
    m_lastLeaderContact = m_hooks.now();
    m_role = replica_role::Follower;
}

void replica::becomeLeader()
{
    internal_assert(m_leader == replica_id {})
        << "term " << m_term.value() << " already has the leader " << m_leader.vm.value();
    internal_assert(m_votedFor == m_self) << "leader of term " << m_term.value() << " without its own vote";
    m_role = replica_role::Leader;
    m_leader = m_self;
}

void replica::adoptTerm(log_term term)
{
    internal_assert(term > m_term) << "term " << term.value() << " adopted after term " << m_term.value();
    m_term = term;
    m_votedFor = replica_id {};
    m_role = replica_role::Follower;
    m_leader = replica_id {};
    writeState();
}

void replica::castVote(const replica_id& candidate)
{
    internal_assert(m_votedFor == replica_id {} || m_votedFor == candidate)
        << "second vote in term " << m_term.value() << " for " << candidate.vm.value();
    internal_assert(mayVote()) << "vote of a replica without a log on a working disk";
    m_votedFor = candidate;
    writeState();
}

void replica::append(std::vector<log_entry> entries)
{
    if (entries.empty())
        return;
    for (const log_entry& entry : entries)
        m_log.append(entry);
    write({ hardState(), std::move(entries) }, m_log.lastIndex());
}

void replica::truncateFrom(log_index index)
{
    internal_assert(index > m_committed) << "truncation from entry " << index.value() << " on, but entries up to "
                                         << m_committed.value() << " are committed";
    m_log.truncateFrom(index);
    m_writes.truncateFrom(index);
}

void replica::installSnapshot(const log_snapshot& snapshot)
{
    internal_assert(snapshot.index > m_applied)
        << "applied index " << m_applied.value() << " would go back to " << snapshot.index.value();
    const bool keepLaterEntries = m_log.termAt(snapshot.index) == snapshot.term;
    if (keepLaterEntries) {
        m_log.compactTo(snapshot.index);
    } else {
        m_writes.truncateFrom(snapshot.index);
        m_log.reset(snapshot.index, snapshot.term, snapshot.voters);
    }
    m_committed = m_applied = m_snapshotIndex = snapshot.index;
    m_dependencies.control->restore(snapshot.state);
    if (!hasDisk())
        return;
    writeState();
    const std::uint64_t number = m_writes.begin(snapshot.index);
    m_dependencies.storage->saveSnapshot(snapshot, keepLaterEntries,
        whileAlive([this, number](const absl::Status& status) { finishWrite(number, status); }));
}

void replica::commitTo(log_index index)
{
    internal_assert(index <= m_log.lastIndex())
        << "commit of " << index.value() << " beyond the last index " << m_log.lastIndex().value();
    if (index <= m_committed)
        return;
    m_committed = index;
    internal_assert(!m_applying) << "commitTo called while an entry is applied";
    m_applying = true;
    while (m_applied < m_committed) {
        m_applied = m_applied.next();
        applyEntry(m_log.at(m_applied));
    }
    m_applying = false;
    if (shouldCompact())
        compact();
}

bool replica::shouldCompact() const
{
    if (m_applied.value() - m_snapshotIndex.value() >= m_options.snapshotEvery)
        return true;
    // A snapshot is written only after as many bytes of entries, so that a large state at most doubles what is written.
    return m_log.bytesBetween(m_snapshotIndex, m_applied) >= std::max(m_options.snapshotEveryBytes, m_snapshotBytes);
}

void replica::applyEntry(const log_entry& entry)
{
    const auto* item = std::get_if<proposal>(&entry.content);
    if (item == nullptr || item->id.vm.empty())
        return;
    const command_result result = m_dependencies.control->apply(*item);
    if (m_onApplied)
        m_onApplied(*item, result);
}

void replica::compact()
{
    m_snapshotIndex = m_applied;
    m_snapshotBytes = approximateSize(m_dependencies.control->state());
    if (hasDisk()) {
        const std::uint64_t number = m_writes.begin(log_index(0));
        m_dependencies.storage->saveSnapshot(
            snapshot(), true, whileAlive([this, number](const absl::Status& status) { finishWrite(number, status); }));
    }
    m_log.compactTo(lastIndexToRemove());
}

log_index replica::lastIndexToRemove() const
{
    log_index first = m_applied;
    while (first > m_log.base() && m_applied.value() - first.value() < m_options.trailingEntries
        && m_log.bytesBetween(log_index(first.value() - 1), m_applied) <= m_options.trailingBytes)
        first = log_index(first.value() - 1);
    return first;
}

log_snapshot replica::snapshot() const
{
    return { m_applied, *m_log.termAt(m_applied), m_log.votersAt(m_applied), m_dependencies.control->state() };
}

void replica::writeState() { write({ hardState(), {} }, log_index(0)); }

void replica::write(storage_write content, log_index lastIndex)
{
    if (!hasDisk())
        return;
    const std::uint64_t number = m_writes.begin(lastIndex);
    m_dependencies.storage->write(
        std::move(content), whileAlive([this, number](const absl::Status& status) { finishWrite(number, status); }));
}

replica::storage_callback replica::whileAlive(storage_callback action) const
{
    return [action = std::move(action), alive = std::weak_ptr<bool>(m_alive)](const absl::Status& status) {
        if (!alive.expired())
            action(status);
    };
}

void replica::finishWrite(std::uint64_t number, const absl::Status& status)
{
    if (m_failed)
        return;
    if (status.ok() || !mechanisms().stopAfterFailedWrite)
        m_writes.complete(number);
    else
        fail(status);
}

void replica::fail(const absl::Status& status)
{
    if (!m_isRewriting)
        report(log_level::Error, "the disk failed; this VM does not vote until it is rewritten",
            { { "status", std::string(status.message()) } });
    m_failed = true;
    m_nextRewriteAt = m_hooks.now() + m_options.diskRetryInterval;
    m_writes.abandon();
    m_role = replica_role::Follower;
    m_leader = replica_id {};
    // Entries that this replica acknowledges from now on may be missing after a restart, so it continues as a learner
    // with another identity.
    m_selfOnDisk = m_self;
    m_self.disk = incarnation(m_hooks.random() | 1);
    if (m_onFailure)
        m_onFailure();
}

void replica::onTick()
{
    if (m_failed && m_hooks.now() >= m_nextRewriteAt && mechanisms().rewriteFailedDisk)
        rewriteDisk();
}

void replica::rewriteDisk()
{
    // Memory holds every vote and entry that this replica acknowledged. Once all of it is durable, the replica is like
    // one whose last write took long, and keeps its identity.
    m_self = m_selfOnDisk;
    m_failed = false;
    m_isRewriting = true;
    recovered_state content { hardState(), snapshot(), {} };
    for (log_index i = m_applied.next(); i <= m_log.lastIndex(); i = i.next())
        content.entries.push_back(m_log.at(i));
    const std::uint64_t number = m_writes.begin(m_log.lastIndex());
    m_dependencies.storage->rewrite(
        std::move(content), whileAlive([this, number](const absl::Status& status) { finishRewrite(number, status); }));
}

void replica::finishRewrite(std::uint64_t number, const absl::Status& status)
{
    finishWrite(number, status);
    m_isRewriting = false;
    if (!m_failed)
        report(log_level::Info, "the disk was rewritten; this VM votes again");
}

void replica::whenDurable(std::function<void()> action)
{
    if (hasDisk() && mechanisms().durableBeforeAnswer)
        m_writes.whenDurable(std::move(action));
    else
        action();
}

log_index replica::durableIndex() const
{
    return hasDisk() && mechanisms().durableBeforeAnswer ? m_writes.durableIndex() : m_log.lastIndex();
}

void replica::send(const vm_id& to, consensus_message message)
{
    m_dependencies.peers->send(to, peer_message(std::move(message)));
}

void replica::report(log_level level, std::string what, std::vector<log_field> fields) const
{
    fields.push_back({ "term", absl::StrCat(m_term.value()) });
    m_hooks.log({ level, "consensus", std::move(what), std::move(fields) });
}

} // namespace plantainlatch
