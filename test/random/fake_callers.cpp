#include "fake_callers.h"

#include "core/outcome.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    constexpr int mostAttempts = 4;
    /** Two crashes lead to a refusal; attempts that were under way at that moment may crash one more each. */
    constexpr int mostCrashes = 4;
    constexpr int statusOk = 200;

} // namespace

void fake_callers::start(duration interval)
{
    m_active = true;
    sendNext(interval);
}

void fake_callers::sendNext(duration interval)
{
    if (!m_active)
        return;
    send(makeWork());
    const auto span = static_cast<std::uint64_t>(2 * interval.count());
    m_runtime.schedule(duration(m_runtime.random() % span), [this, interval] { sendNext(interval); });
}

fake_callers::work_pointer fake_callers::makeWork()
{
    auto item = std::make_shared<work>();
    const std::uint64_t kind = m_runtime.random() % 200;
    item->write = kind < 100;
    item->keyed = kind < 70;
    item->target = (kind == 0 || kind == 199 ? "/crash/" : "/work/") + std::to_string(++m_lastWork);
    return item;
}

caller_request fake_callers::requestFor(const work& item) const
{
    caller_request request;
    request.service = service_id(item.write ? "billing" : "booking");
    request.method = item.write ? "POST" : "GET";
    request.target = item.target;
    request.deadline = 2s;
    if (item.keyed)
        request.key = idempotency_key(item.target);
    return request;
}

void fake_callers::send(const work_pointer& item)
{
    const reachable_entry entry = pickEntry();
    if (entry.requests == nullptr)
        return;
    submit(item, entry, [](bool) {});
}

void fake_callers::submit(const work_pointer& item, const reachable_entry& entry, std::function<void(bool)> done)
{
    ++item->attempts;
    ++item->open;
    m_upstreams.endPromise(item->target);
    const auto answered = std::make_shared<bool>(false);
    m_journal.note("caller sends " + item->target + " through " + entry.vm.value());
    entry.requests->submit(
        requestFor(*item), [this, item, answered, done, life = entry.life](const caller_answer& answer) {
            if (life.expired() || *answered)
                return;
            *answered = true;
            --item->open;
            check(*item, answer);
            done(answer.result == outcome::Completed && answer.content.status == statusOk);
            if (!item->settled)
                resendLater(item);
        });
    m_runtime.schedule(3s, [this, item, answered, life = entry.life] {
        if (*answered)
            return;
        // A killed entry never answers; what it began may still run.
        if (life.expired())
            --item->open;
        resendLater(item);
    });
}

void fake_callers::resendLater(const work_pointer& item)
{
    const bool mayResend = !item->write || item->keyed;
    if (!mayResend || item->settled || item->attempts >= mostAttempts)
        return;
    m_runtime.schedule(500ms, [this, item] {
        if (!item->settled && m_active)
            send(item);
    });
}

void fake_callers::check(work& item, const caller_answer& answer)
{
    m_journal.note("answer to " + item.target + ": " + std::string(outcomeName(answer.result)) + ", "
        + std::string(answerReasonName(answer.reason)) + ", " + std::to_string(answer.content.status));
    const bool isWhole = answer.content.status == statusOk;
    if (answer.result == outcome::Completed || answer.result == outcome::Replayed) {
        item.settled = true;
        ++m_completed;
        if (isWhole && answer.content.body != "answer to " + item.target)
            m_journal.violate("answer of another request for " + item.target + ": " + answer.content.body);
        if (isWhole && m_upstreams.runsOf(item.target) == 0)
            m_journal.violate("answer without a run for " + item.target);
    }
    if (answer.result == outcome::NotRun && item.write) {
        if (m_upstreams.runsOf(item.target) > 0)
            m_journal.violate("not-run, but it ran: " + item.target);
        if (item.open == 0)
            m_upstreams.promiseNotRun(item.target);
    }
    if (m_upstreams.crashesBy(item.target) > mostCrashes)
        m_journal.violate("one request crashed too many upstreams: " + item.target + ", "
            + std::to_string(m_upstreams.crashesBy(item.target)) + " times");
}

void fake_callers::probe(const reachable_entry& entry, bool keyed, std::function<void(bool completed)> done)
{
    const auto item = std::make_shared<work>();
    item->write = item->keyed = keyed;
    item->target = "/probe/" + std::to_string(++m_lastWork);
    item->attempts = mostAttempts;
    submit(item, entry, std::move(done));
}

} // namespace plantainlatch
