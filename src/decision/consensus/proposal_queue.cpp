#include "decision/consensus/proposal_queue.h"

#include <optional>
#include <utility>
#include <vector>

#include "decision/control/proposer_table.h"
#include "model/approximate_size.h"

namespace plantainlatch {

proposal_queue::proposal_queue(replica& self, log_leader& leader, incarnation start)
    : m_replica(self)
    , m_leader(leader)
    , m_start(start)
{
}

proposal_queue::~proposal_queue()
{
    for (const auto& [sequence, timer] : m_rejections)
        m_replica.hooks().cancel(timer);
}

proposal_id proposal_queue::propose(control_command command, duration timeout, result_callback callback)
{
    pending_proposal item;
    item.command = std::move(command);
    item.callback = std::move(callback);
    item.deadline = m_replica.hooks().now() + timeout;
    return add(std::move(item));
}

void proposal_queue::readBarrier(duration timeout, std::function<void(absl::Status)> callback)
{
    // Every command that was accepted before the no-op command was proposed precedes it in the log. So once the no-op
    // command is applied here, all of them are.
    pending_proposal item;
    item.command = noop_command {};
    item.callback
        = [callback = std::move(callback)](const absl::StatusOr<command_result>& result) { callback(result.status()); };
    item.deadline = m_replica.hooks().now() + timeout;
    item.requiresLocalApply = true;
    add(std::move(item));
}

proposal_id proposal_queue::add(pending_proposal item)
{
    const std::uint64_t sequence = ++m_lastSequence;
    item.bytes = approximateSize(item.command);
    if (!hasRoomFor(item)) {
        rejectLater(std::move(item.callback));
        return idOf(sequence);
    }
    m_pendingBytes += item.bytes;
    trySend(sequence, m_pending.emplace(sequence, std::move(item)).first->second);
    return idOf(sequence);
}

bool proposal_queue::hasRoomFor(const pending_proposal& item) const
{
    const consensus_options& options = m_replica.options();
    return m_pending.empty()
        || (m_pending.size() < options.maximumPending && m_pendingBytes + item.bytes <= options.maximumPendingBytes);
}

void proposal_queue::rejectLater(result_callback callback)
{
    const std::uint64_t sequence = m_lastSequence;
    m_rejections[sequence]
        = m_replica.hooks().schedule(duration::zero(), [this, sequence, callback = std::move(callback)] {
              m_rejections.erase(sequence);
              callback(absl::UnavailableError("too many proposals are pending"));
          });
}

void proposal_queue::trySend(std::uint64_t sequence, pending_proposal& item)
{
    const bool isResend = item.sent;
    if (m_replica.leader() == replica_id {} || (isResend && !m_replica.mechanisms().resendProposals))
        return;
    item.sentAt = m_replica.hooks().now();
    if (m_replica.role() != replica_role::Leader) {
        item.sent = true;
        m_replica.send(m_replica.leader().vm, propose_request { idOf(sequence), item.command });
        return;
    }
    item.sent = m_leader.submit(idOf(sequence), item.command) || item.sent;
}

void proposal_queue::onTick()
{
    const time_point now = m_replica.hooks().now();
    std::vector<std::uint64_t> overdue;
    for (auto& [sequence, item] : m_pending) {
        if (now >= item.deadline)
            overdue.push_back(sequence);
        else if (!item.sent || now >= item.sentAt + m_replica.options().proposalResendInterval)
            trySend(sequence, item);
    }
    for (std::uint64_t sequence : overdue) {
        const auto item = m_pending.find(sequence);
        if (item == m_pending.end())
            continue;
        if (item->second.sent)
            finish(
                sequence, absl::DeadlineExceededError("the proposal got no result in time; it may still be applied"));
        else
            finish(sequence, absl::UnavailableError("no leader of the log accepted the proposal in time"));
    }
}

void proposal_queue::onLeaderChange()
{
    for (auto& [sequence, item] : m_pending)
        trySend(sequence, item);
}

void proposal_queue::onResult(const proposal_id& id, const command_result& result)
{
    if (id.vm == m_replica.vm() && id.start == m_start)
        finish(id.sequence, result);
}

void proposal_queue::finish(std::uint64_t sequence, absl::StatusOr<command_result> result)
{
    auto item = m_pending.extract(sequence);
    if (item.empty())
        return;
    m_pendingBytes -= item.mapped().bytes;
    item.mapped().callback(std::move(result));
}

void proposal_queue::onRequest(const vm_id& from, const propose_request& request)
{
    // A read barrier needs an entry that its VM has not applied yet; a snapshot may have contained the first one.
    const bool isBarrier = std::holds_alternative<noop_command>(request.command);
    if (m_replica.role() == replica_role::Leader && !isBarrier) {
        const std::optional<command_result> applied
            = findCachedResult(m_replica.state(), { request.id, {}, request.command });
        if (applied) {
            m_replica.send(from, propose_answer { request.id, *applied, m_replica.vm() });
            return;
        }
    }
    if (!m_leader.submit(request.id, request.command))
        m_replica.send(from, propose_answer { request.id, std::nullopt, m_replica.leader().vm });
}

void proposal_queue::onAnswer(const propose_answer& answer)
{
    const auto item = m_pending.find(answer.id.sequence);
    const bool finishesProposal = item != m_pending.end() && !item->second.requiresLocalApply;
    if (answer.result && finishesProposal)
        onResult(answer.id, *answer.result);
}

} // namespace plantainlatch
