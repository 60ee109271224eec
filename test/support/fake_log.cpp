#include "support/fake_log.h"

#include "decision/control/crash_table.h"
#include "decision/control/key_table.h"

namespace plantainlatch {

namespace {

    constexpr duration barrierDelay = std::chrono::milliseconds(2);

    command_result applyTo(control_snapshot& state, const proposal& item)
    {
        if (const auto* claim = std::get_if<claim_key>(&item.command))
            return applyClaim(state.keys, item, *claim);
        if (const auto* settle = std::get_if<settle_key>(&item.command))
            return applySettle(state.keys, item, *settle);
        if (const auto* crash = std::get_if<report_crash>(&item.command))
            return applyCrashReport(state.crashes, item, *crash);
        if (const auto* withdrawal = std::get_if<withdraw_crashes>(&item.command))
            return applyCrashWithdrawal(state.crashes, *withdrawal);
        if (const auto* trial = std::get_if<begin_crash_trial>(&item.command))
            return applyCrashTrial(state.crashes, *trial);
        if (const auto* discarded = std::get_if<discard_crash_trial>(&item.command))
            return applyDiscardedTrial(state.crashes, *discarded);
        if (const auto* replacement = std::get_if<replace_configuration>(&item.command))
            state.config = replacement->content;
        return {};
    }

} // namespace

fake_log_member::fake_log_member(fake_log& log, const vm_id& vm, incarnation start)
    : m_log(log)
    , m_last { vm, start, 0 }
    , m_state(log.state)
{
    consensus.state = [this] { return leadership { .current = isCurrent }; };
    consensus.propose
        = [this](control_command command, duration timeout, std::function<void(absl::StatusOr<command_result>)> done) {
              return propose(std::move(command), timeout, std::move(done));
          };
    consensus.readBarrier = [this](duration timeout, const std::function<void(absl::Status)>& done) {
        const absl::Status status = isCurrent ? absl::OkStatus() : absl::UnavailableError("no leader contact");
        m_log.m_runtime.schedule(isCurrent ? barrierDelay + applyLag : timeout, [done, status] { done(status); });
    };
    control.state = [this]() -> const control_snapshot& { return m_state; };
    control.onChange = [this](std::function<void()> listener) { m_listeners.push_back(std::move(listener)); };
    control.onSteeringChange = [](const std::function<void(const steering_change&)>&) {};
    m_log.m_members.insert(this);
}

proposal_id fake_log_member::propose(
    control_command command, duration timeout, std::function<void(absl::StatusOr<command_result>)> done)
{
    ++m_last.sequence;
    const proposal item { m_last, {}, std::move(command) };
    const proposal_behaviour decided = behaviour(item.command);
    paused_runtime& runtime = m_log.m_runtime;
    const bool answersInTime = decided.committed && decided.answered && decided.delay <= timeout;
    if (decided.committed) {
        runtime.schedule(decided.delay, [log = &m_log, item, answersInTime, done, refused = decided.refused] {
            command_result result;
            if (refused)
                result.verdict = command_verdict::Refused;
            else
                result = log->append(item);
            if (answersInTime)
                done(result);
        });
    }
    if (!answersInTime)
        runtime.schedule(timeout, [done] { done(absl::DeadlineExceededError("no answer from the log")); });
    return m_last;
}

command_result fake_log::append(const proposal& item)
{
    proposal stamped = item;
    stamped.proposedAt = m_runtime.hooks().wallNow();
    command_result result = applyTo(state, stamped);
    for (fake_log_member* member : m_members) {
        const auto apply = [member, stamped] {
            applyTo(member->m_state, stamped);
            for (const auto& listener : member->m_listeners)
                listener();
        };
        if (member->applyLag == duration::zero())
            apply();
        else
            m_runtime.schedule(member->applyLag, apply);
    }
    return result;
}

} // namespace plantainlatch
