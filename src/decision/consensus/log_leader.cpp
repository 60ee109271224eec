#include "decision/consensus/log_leader.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "core/internal_assert.h"
#include "decision/consensus/quorum.h"
#include "decision/consensus/voter_changes.h"
#include "decision/consensus/voter_replacement.h"
#include "model/approximate_size.h"

namespace plantainlatch {

namespace {

    /** The number of rounds whose start times are kept; an answer to an older round is too late to extend the lease. */
    constexpr std::size_t rememberedRounds = 64;
    /** A replica counts as up to date if at most this many entries are missing. */
    constexpr std::uint64_t upToDateLag = 256;
    /** A follower that takes at least this long to acknowledge an entry counts as behind. */
    constexpr duration behindAfter = std::chrono::seconds(1);
    /** A follower without an answer for this long counts as silent and not as behind. */
    constexpr duration silentAfter = std::chrono::seconds(10);

} // namespace

log_leader::log_leader(replica& self)
    : m_replica(self)
{
}

log_leader::~log_leader() { m_replica.hooks().cancel(m_flush); }

void log_leader::startTerm()
{
    m_replica.becomeLeader();
    m_replica.report(log_level::Info, "leads the log");
    m_electedAt = m_replica.hooks().now();
    m_nextRound = m_electedAt;
    m_transferring = false;
    clearBuffered();
    m_unapplied.clear();
    m_followers.clear();
    m_hasAddedVms = false;
    for (const vm_record& vm : m_replica.settings().vms)
        addFollower(vm.id);
    for (const replica_id& voter : m_replica.log().voters().voters)
        addFollower(voter.vm);
    addKnownVms();
    for (log_index i = m_replica.applied().next(); i <= m_replica.log().lastIndex(); i = i.next()) {
        if (const auto* item = std::get_if<proposal>(&m_replica.log().at(i).content))
            m_unapplied.insert(item->id);
    }
    m_firstOfTerm = m_replica.log().lastIndex().next();
    m_buffered.push_back({ proposal_id {}, m_replica.hooks().wallNow(), noop_command {} });
    appendBuffered();
    beginRound();
    for (auto& [vm, progress] : m_followers)
        sendEntries(vm, progress);
}

void log_leader::addKnownVms()
{
    for (const auto& [vm, started] : m_replica.state().vms) {
        if (!started.stopped)
            addFollower(vm);
    }
}

void log_leader::addVmsOnceApplied()
{
    if (m_hasAddedVms || !hasAppliedOwnTerm())
        return;
    m_hasAddedVms = true;
    addKnownVms();
    beginRound();
}

void log_leader::addFollower(const vm_id& vm)
{
    if (vm == m_replica.vm() || m_followers.contains(vm))
        return;
    if (m_followers.size() >= m_replica.options().maximumFollowerCount) {
        m_replica.report(log_level::Warning, "too many followers", { { "refused", vm.value() } });
        return;
    }
    follower_progress progress;
    progress.next = m_replica.log().lastIndex().next();
    m_followers.emplace(vm, progress);
}

void log_leader::stepDown(const char* why)
{
    m_replica.report(log_level::Info, "steps down", { { "why", why } });
    m_replica.setRole(replica_role::Follower);
    m_replica.clearLeader();
    clearBuffered();
}

void log_leader::onTick()
{
    if (!leads())
        return;
    const time_point now = m_replica.hooks().now();
    if (now >= std::max(leaseStart(), m_electedAt) + m_replica.options().electionTimeout) {
        stepDown("no answers from a majority");
        return;
    }
    if (now >= m_nextRound)
        beginRound();
    changeVoters();
    if (m_transferring)
        tryTransfer();
}

void log_leader::beginRound()
{
    const time_point now = m_replica.hooks().now();
    m_nextRound = now + m_replica.options().heartbeatInterval;
    m_rounds.push_back(now);
    if (m_rounds.size() > rememberedRounds) {
        m_rounds.pop_front();
        ++m_firstRound;
    }
    for (const auto& [vm, progress] : m_followers)
        sendHeartbeat(vm, progress);
}

time_point log_leader::roundStart(std::uint64_t round) const
{
    if (round < m_firstRound || round >= m_firstRound + m_rounds.size())
        return time_point::min();
    return m_rounds[round - m_firstRound];
}

time_point log_leader::leaseStart() const
{
    const time_point now = m_replica.hooks().now();
    if (!m_replica.mechanisms().leaseNeedsQuorum)
        return now;
    return quorumValue<time_point>(m_replica.log().voters(), [this, now](const replica_id& voter) {
        if (voter == m_replica.self())
            return now;
        const auto progress = m_followers.find(voter.vm);
        const bool isKnown = progress != m_followers.end() && progress->second.id == voter;
        return isKnown ? progress->second.ackedRoundStart : time_point::min();
    });
}

bool log_leader::holdsLease() const
{
    const consensus_options& options = m_replica.options();
    const duration lease = options.electionTimeout - options.leaseMargin;
    return leads() && !m_transferring && m_replica.hooks().now() < leaseStart() + lease;
}

bool log_leader::submit(const proposal_id& id, const control_command& command)
{
    if (!leads() || m_transferring)
        return false;
    if (m_unapplied.contains(id))
        return true;
    const std::uint64_t bytes = approximateSize(command);
    const bool hasRoom = m_unapplied.empty()
        || (m_unapplied.size() < m_replica.options().maximumUncommitted
            && unappliedBytes() + bytes <= m_replica.options().maximumUncommittedBytes);
    if (!hasRoom)
        return false;
    m_unapplied.insert(id);
    m_buffered.push_back({ id, m_replica.hooks().wallNow(), command });
    m_bufferedBytes += bytes;
    scheduleFlush();
    return true;
}

std::uint64_t log_leader::unappliedBytes() const
{
    return m_bufferedBytes + m_replica.log().bytesBetween(m_replica.applied(), m_replica.log().lastIndex());
}

void log_leader::scheduleFlush()
{
    if (m_flush != timer_id {})
        return;
    m_flush = m_replica.hooks().schedule(duration::zero(), [this] {
        m_flush = timer_id {};
        flush();
    });
}

void log_leader::flush()
{
    if (!leads())
        return;
    appendBuffered();
    for (auto& [vm, progress] : m_followers) {
        if (!progress.probing)
            sendEntries(vm, progress);
    }
}

void log_leader::appendBuffered()
{
    std::vector<log_entry> entries;
    log_index index = m_replica.log().lastIndex();
    for (proposal& item : m_buffered) {
        index = index.next();
        entries.push_back({ m_replica.term(), index, std::move(item) });
    }
    clearBuffered();
    m_replica.append(std::move(entries));
    m_replica.whenDurable([this] { advanceCommitIndex(); });
}

void log_leader::clearBuffered()
{
    m_buffered.clear();
    m_bufferedBytes = 0;
}

void log_leader::appendVoters(voter_set next)
{
    m_replica.report(log_level::Info, "changes the voters");
    appendBuffered();
    std::vector<log_entry> entries;
    entries.push_back({ m_replica.term(), m_replica.log().lastIndex().next(), std::move(next) });
    m_replica.append(std::move(entries));
    m_replica.whenDurable([this] { advanceCommitIndex(); });
    scheduleFlush();
}

void log_leader::sendHeartbeat(const vm_id& to, const follower_progress& progress)
{
    sendAppend(to, log_index(progress.next.value() - 1), {});
}

void log_leader::sendAppend(const vm_id& to, log_index previous, std::vector<log_entry> entries)
{
    // A follower whose log ends before the base rejects this message and is then sent a snapshot.
    previous = std::max(previous, m_replica.log().base());
    m_replica.send(to,
        append_request { m_replica.term(), m_replica.self(), previous, *m_replica.log().termAt(previous),
            std::move(entries), m_replica.committed(), currentRound() });
}

void log_leader::sendEntries(const vm_id& to, follower_progress& progress)
{
    if (progress.next <= m_replica.log().base()) {
        sendSnapshot(to, progress);
        return;
    }
    while (progress.next <= m_replica.log().lastIndex() && hasRoomInWindow(progress)) {
        if (progress.probing && progress.mayBeInTransit())
            return;
        entry_batch batch = batchFrom(progress.next);
        recordSent(progress, batch);
        const log_index previous(progress.next.value() - 1);
        const log_index next(progress.next.value() + batch.entries.size());
        progress.sentRound = currentRound();
        progress.sentPrevious = previous;
        progress.next = next;
        sendAppend(to, previous, std::move(batch.entries));
    }
}

bool log_leader::hasRoomInWindow(const follower_progress& progress) const
{
    const log_store& log = m_replica.log();
    const consensus_options& options = m_replica.options();
    if (progress.next.value() > progress.match.value() + options.maximumWindow)
        return false;
    const log_index acknowledged = std::max(progress.match, log.base());
    return log.bytesBetween(acknowledged, log_index(progress.next.value() - 1)) < options.maximumWindowBytes;
}

log_leader::entry_batch log_leader::batchFrom(log_index first) const
{
    const consensus_options& options = m_replica.options();
    const log_store& log = m_replica.log();
    entry_batch batch;
    for (log_index i = first; i <= log.lastIndex() && batch.entries.size() < options.maximumBatch; i = i.next()) {
        const std::uint64_t size = log.bytesOf(i);
        if (!batch.entries.empty() && batch.bytes + size > options.maximumBatchBytes)
            break;
        batch.bytes += size;
        batch.entries.push_back(log.at(i));
    }
    return batch;
}

void log_leader::recordSent(follower_progress& progress, const entry_batch& batch)
{
    std::uint64_t resent = 0;
    for (const log_entry& entry : batch.entries)
        resent += entry.index < progress.sentEnd ? m_replica.log().bytesOf(entry.index) : 0;
    if (!progress.lag)
        progress.lag = follower_lag { batch.entries.back().index, m_replica.hooks().now() };
    progress.lag->sentBytes += batch.bytes;
    progress.lag->resentBytes += resent;
    m_sentBytes += batch.bytes;
    m_resentBytes += resent;
    progress.sentEnd = std::max(progress.sentEnd, batch.entries.back().index.next());
}

void log_leader::endLag(const vm_id& follower, follower_progress& progress)
{
    if (!progress.lag || progress.match < progress.lag->until)
        return;
    const follower_lag lag = *progress.lag;
    progress.lag.reset();
    const duration span = m_replica.hooks().now() - lag.since;
    if (span < behindAfter)
        return;
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
    m_replica.report(log_level::Warning, "a follower was behind",
        { { "follower", follower.value() }, { "took_ms", absl::StrCat(milliseconds) },
            { "sent_bytes", absl::StrCat(lag.sentBytes) }, { "resent_bytes", absl::StrCat(lag.resentBytes) },
            { "matched", absl::StrCat(progress.match.value()) },
            { "applied", absl::StrCat(progress.applied.value()) } });
}

void log_leader::sendSnapshot(const vm_id& to, follower_progress& progress)
{
    const consensus_options& options = m_replica.options();
    const bool isOnItsWay = progress.snapshot && progress.mayBeInTransit();
    if (isOnItsWay || !m_replica.mechanisms().snapshotCatchUp)
        return;
    const auto inFlight = std::count_if(m_followers.begin(), m_followers.end(),
        [this](const auto& item) { return countsAsSnapshotInFlight(item.second); });
    if (static_cast<std::size_t>(inFlight) >= options.maximumSnapshotsInFlight)
        return;
    progress.snapshot = pending_snapshot { m_replica.applied(), m_replica.hooks().now() };
    progress.next = m_replica.applied().next();
    progress.sentRound = currentRound();
    progress.sentPrevious = log_index();
    ++m_snapshotsSent;
    m_replica.send(to, snapshot_request { m_replica.term(), m_replica.self(), m_replica.snapshot(), currentRound() });
}

bool log_leader::countsAsSnapshotInFlight(const follower_progress& progress) const
{
    const duration timeout = m_replica.options().snapshotTimeout;
    return progress.snapshot && progress.mayBeInTransit()
        && m_replica.hooks().now() < progress.snapshot->sentAt + timeout;
}

bool log_leader::isResponsive(const follower_progress& progress) const
{
    return m_replica.hooks().now() < progress.lastAnswer + m_replica.options().electionTimeout;
}

void log_leader::onAppendAnswer(const vm_id& from, const append_answer& answer)
{
    if (answer.term > m_replica.term()) {
        m_replica.adoptTerm(answer.term);
        return;
    }
    const auto found = m_followers.find(from);
    if (!leads() || answer.term != m_replica.term() || found == m_followers.end())
        return;
    follower_progress& progress = found->second;
    identifyFollower(progress, answer);
    if (progress.id != answer.follower)
        return;
    progress.lastAnswer = m_replica.hooks().now();
    progress.applied = std::max(progress.applied, answer.applied);
    if (answer.round > progress.ackedRound) {
        progress.ackedRound = answer.round;
        progress.ackedRoundStart = std::max(progress.ackedRoundStart, roundStart(answer.round));
    }
    updateMatch(progress, answer);
    endLag(from, progress);
    advanceCommitIndex();
    sendEntries(from, progress);
}

void log_leader::identifyFollower(follower_progress& progress, const append_answer& answer)
{
    // The VM's identity is replaced only by an answer to a later round than the last one answered. So a delayed answer
    // from an earlier identity of the VM, which is to an earlier round, cannot replace the current identity.
    if (progress.id == answer.follower || answer.round <= progress.ackedRound)
        return;
    progress = follower_progress {};
    progress.id = answer.follower;
    progress.durable = answer.durable;
    progress.next = m_replica.log().lastIndex().next();
}

void log_leader::updateMatch(follower_progress& progress, const append_answer& answer)
{
    if (!answer.matched) {
        goBack(progress, answer);
        return;
    }
    internal_assert(answer.index <= m_replica.log().lastIndex())
        << "follower " << answer.follower.vm.value() << " matched beyond the end of the log, at "
        << answer.index.value();
    progress.probing = false;
    if (answer.index <= progress.match)
        return;
    progress.match = answer.index;
    progress.next = std::max(progress.next, progress.match.next());
    if (progress.snapshot && progress.snapshot->index <= progress.match)
        progress.snapshot.reset();
}

void log_leader::goBack(follower_progress& progress, const append_answer& answer)
{
    // A rejection of a message that was sent before the last entries tells nothing about these. The follower rejected
    // the last entries themselves if it can't match the index before them.
    const bool rejectsLastSent = answer.index < progress.sentPrevious;
    if (answer.round <= progress.sentRound && !rejectsLastSent)
        return;
    progress.next = std::max(progress.match.next(), std::min(progress.next, answer.index.next()));
    progress.probing = true;
    progress.sentRound = 0;
    progress.snapshot.reset();
}

void log_leader::advanceCommitIndex()
{
    if (!leads())
        return;
    const log_index matched = quorumValue<log_index>(m_replica.log().voters(), [this](const replica_id& voter) {
        if (voter == m_replica.self())
            return m_replica.durableIndex();
        const auto progress = m_followers.find(voter.vm);
        const bool isKnown = progress != m_followers.end() && progress->second.id == voter;
        return isKnown ? progress->second.match : log_index(0);
    });
    // Raft's commitment rule: only entries of the current term are committed by counting replicas; earlier entries are
    // committed with them.
    if (matched > m_replica.committed() && m_replica.log().termAt(matched) == m_replica.term())
        m_replica.commitTo(matched);
    addVmsOnceApplied();
}

std::vector<replica_id> log_leader::silentVoters() const
{
    const time_point now = m_replica.hooks().now();
    const duration silence = m_replica.options().replaceVoterAfter;
    if (now < m_electedAt + silence)
        return {};
    const voter_set& voters = m_replica.log().voters();
    std::vector<silent_voter> silent;
    for (const replica_id& voter : voters.voters) {
        const auto progress = m_followers.find(voter.vm);
        const bool isKnown = progress != m_followers.end();
        const bool hasAnswered = isKnown && progress->second.id == voter
            && now < std::max(progress->second.lastAnswer, m_electedAt) + silence;
        if (voter == m_replica.self() || hasAnswered)
            continue;
        const bool vmAnswers = isKnown && isResponsive(progress->second);
        silent.push_back({ voter, vmAnswers, sharesFailureDomain(voter, voters, m_replica.state().vms) });
    }
    return orderOfReplacement(std::move(silent));
}

void log_leader::changeVoters()
{
    const bool isPending = m_replica.log().votersIndex() > m_replica.committed();
    if (isPending || m_transferring || !hasAppliedOwnTerm() || !holdsLease())
        return;
    std::set<replica_id> upToDate { m_replica.self() };
    for (const auto& [vm, progress] : m_followers) {
        const bool isWithinLag = progress.match.value() + upToDateLag >= m_replica.log().lastIndex().value();
        if (progress.durable && isResponsive(progress) && isWithinLag && progress.match > log_index(0))
            upToDate.insert(progress.id);
    }
    std::optional<voter_set> next
        = nextVoters({ m_replica.log().voters(), upToDate, silentVoters(), m_replica.options().maximumVoterCount });
    if (next)
        appendVoters(std::move(*next));
}

void log_leader::tryTransfer()
{
    flush();
    if (m_replica.log().voters().voters.size() <= 1)
        return;
    for (const auto& [vm, progress] : m_followers) {
        const bool isVoter = m_replica.log().voters().voters.contains(progress.id);
        if (!isVoter || !isResponsive(progress) || progress.match != m_replica.log().lastIndex())
            continue;
        m_replica.send(vm, transfer_request { m_replica.term(), m_replica.self() });
        stepDown("leadership transfer");
        return;
    }
}

std::vector<std::pair<vm_id, log_index>> log_leader::followerAppliedIndices() const
{
    std::vector<std::pair<vm_id, log_index>> result;
    if (!leads())
        return result;
    for (const auto& [vm, progress] : m_followers)
        result.emplace_back(vm, progress.applied);
    return result;
}

replication_statistics log_leader::statistics() const
{
    replication_statistics result;
    result.sentBytes = m_sentBytes;
    result.resentBytes = m_resentBytes;
    result.snapshotsSent = m_snapshotsSent;
    if (!leads())
        return result;
    result.followers = m_followers.size();
    for (const auto& [vm, progress] : m_followers) {
        const time_point now = m_replica.hooks().now();
        const bool isBehind
            = progress.lag && now >= progress.lag->since + behindAfter && now < progress.lastAnswer + silentAfter;
        if (!isBehind)
            continue;
        ++result.followersBehind;
        result.longestLag = std::max(result.longestLag, now - progress.lag->since);
    }
    return result;
}

} // namespace plantainlatch
