#include "fake_callers.h"

#include "core/outcome.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    constexpr int maximumAttempts = 4;
    /** The crash guard blocks a request after two crashes; attempts in flight by then may crash one upstream each. */
    constexpr int maximumCrashes = 4;
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
    send(makeRequest());
    const auto span = static_cast<std::uint64_t>(2 * interval.count());
    m_runtime.schedule(duration(m_runtime.random() % span), [this, interval] { sendNext(interval); });
}

fake_callers::request_pointer fake_callers::makeRequest()
{
    auto item = std::make_shared<logical_request>();
    const std::uint64_t kind = m_runtime.random() % 200;
    item->write = kind < 100;
    item->keyed = kind < 70;
    item->target = (kind == 0 || kind == 199 ? "/crash/" : "/work/") + std::to_string(++m_lastRequest);
    return item;
}

caller_request fake_callers::requestFor(const logical_request& item) const
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

void fake_callers::send(const request_pointer& item)
{
    const reachable_entry entry = pickEntry();
    if (entry.requests == nullptr)
        return;
    submit(item, entry, [](bool) {});
}

void fake_callers::submit(const request_pointer& item, const reachable_entry& entry, std::function<void(bool)> done)
{
    ++item->attempts;
    ++item->pending;
    m_upstreams.clearNotRun(item->target);
    const auto isAnswered = std::make_shared<bool>(false);
    m_journal.note("caller sends " + item->target + " through " + entry.vm.value());
    entry.requests->submit(
        requestFor(*item), [this, item, isAnswered, done, life = entry.life](const caller_answer& answer) {
            if (life.expired() || *isAnswered)
                return;
            *isAnswered = true;
            --item->pending;
            check(*item, answer);
            done(answer.result == outcome::Completed && answer.content.status == statusOk);
            if (!item->settled)
                resendLater(item);
        });
    m_runtime.schedule(3s, [this, item, isAnswered, life = entry.life] {
        if (*isAnswered)
            return;
        // A killed entry never answers, but an upstream may still run the request.
        if (life.expired())
            --item->pending;
        resendLater(item);
    });
}

void fake_callers::resendLater(const request_pointer& item)
{
    const bool mayResend = !item->write || item->keyed;
    if (!mayResend || item->settled || item->attempts >= maximumAttempts)
        return;
    m_runtime.schedule(500ms, [this, item] {
        if (!item->settled && m_active)
            send(item);
    });
}

void fake_callers::check(logical_request& item, const caller_answer& answer)
{
    m_journal.note("answer to " + item.target + ": " + std::string(outcomeName(answer.result)) + ", "
        + std::string(answerReasonName(answer.reason)) + ", " + std::to_string(answer.content.status));
    const bool isOk = answer.content.status == statusOk;
    if (answer.result == outcome::Completed || answer.result == outcome::Replayed) {
        item.settled = true;
        ++m_completed;
        if (isOk && answer.content.body != "answer to " + item.target)
            m_journal.reportViolation(
                "a caller received the answer of another request: " + item.target + ": " + answer.content.body);
        if (isOk && m_upstreams.runsOf(item.target) == 0)
            m_journal.reportViolation("answered as completed, but no upstream ran " + item.target);
    }
    if (answer.result == outcome::NotRun && item.write) {
        if (m_upstreams.runsOf(item.target) > 0)
            m_journal.reportViolation("answered as not run, but an upstream ran " + item.target);
        if (item.pending == 0)
            m_upstreams.markNotRun(item.target);
    }
    if (m_upstreams.crashesBy(item.target) > maximumCrashes)
        m_journal.reportViolation("one request crashed too many upstreams: " + item.target + ", "
            + std::to_string(m_upstreams.crashesBy(item.target)) + " times");
}

void fake_callers::probe(const reachable_entry& entry, bool keyed, std::function<void(bool completed)> done)
{
    const auto item = std::make_shared<logical_request>();
    item->write = item->keyed = keyed;
    item->target = "/probe/" + std::to_string(++m_lastRequest);
    item->attempts = maximumAttempts;
    submit(item, entry, std::move(done));
}

} // namespace plantainlatch
