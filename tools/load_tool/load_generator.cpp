#include "load_tool/load_generator.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "codec/http_fields.h"
#include "core/internal_assert.h"

namespace plantainlatch {

namespace {

    constexpr const char* requestNameField = "X-Request-Id";
    constexpr std::uint32_t connectionLimit = 4096;
    constexpr duration resendDelay = std::chrono::milliseconds(20);
    constexpr duration inProgressDelay = std::chrono::milliseconds(100);
    /** A request with less time left is not sent again, and no try gets a shorter time-out. */
    constexpr duration minimumTryTime = std::chrono::milliseconds(20);

    std::string fieldOf(const upstream_answer& answer, const char* name)
    {
        const header_field* field = http_fields::find(answer.headers, name);
        return field != nullptr ? field->value : "";
    }

    /** Whether header and body both contain the name of the request. If not, the answer or a part of it belongs to
     * another request. */
    bool isAnswerTo(const std::string& requestName, const upstream_answer& answer)
    {
        const nlohmann::json json = nlohmann::json::parse(answer.body, nullptr, false);
        return fieldOf(answer, requestNameField) == requestName && json.is_object() && json.contains("request")
            && json["request"] == requestName;
    }

} // namespace

load_generator::load_generator(
    const kernel_hooks& hooks, upstream_port& client, const load_options& options, run_report& report)
    : m_hooks(hooks)
    , m_client(client)
    , m_options(options)
    , m_report(report)
    , m_runName(absl::StrCat("r", absl::Hex(hooks.random())))
    , m_body(options.bodyBytes, 'b')
    , m_requestCount(
          static_cast<std::uint64_t>(options.rate * std::chrono::duration<double>(options.sendDuration).count()))
{
}

void load_generator::start(std::function<void()> done)
{
    m_done = std::move(done);
    m_sourcesWithoutList = m_options.near.size();
    for (const std::string& near : m_options.near) {
        m_sources.push_back(std::make_unique<entry_source>(
            m_hooks, m_client, m_options.entries, near, [this] { return call_id(++m_lastCall); }));
    }
    for (const auto& source : m_sources) {
        source->start([this] {
            if (--m_sourcesWithoutList == 0)
                begin();
        });
    }
}

void load_generator::begin()
{
    m_start = m_hooks.now();
    sendDue();
}

time_point load_generator::intendedAt(std::uint64_t number) const
{
    const std::chrono::duration<double> offset(static_cast<double>(number) / m_options.rate);
    return m_start + std::chrono::duration_cast<duration>(offset);
}

void load_generator::sendDue()
{
    while (m_nextNumber < m_requestCount && intendedAt(m_nextNumber) <= m_hooks.now()) {
        auto item = std::make_shared<request>();
        item->number = m_nextNumber;
        item->kind = nextKind();
        item->intended = intendedAt(m_nextNumber);
        item->entries = m_sources[m_nextNumber % m_sources.size()].get();
        ++m_nextNumber;
        ++m_openRequests;
        m_report.sent(item->kind);
        send(item);
    }
    if (m_nextNumber < m_requestCount)
        m_hooks.schedule(intendedAt(m_nextNumber) - m_hooks.now(), [this] { sendDue(); });
    else
        finishIfDone();
}

work_kind load_generator::nextKind()
{
    std::uint32_t sum = 0;
    for (const std::uint32_t weight : m_options.mix)
        sum += weight;
    auto left = static_cast<std::uint32_t>(m_hooks.random() % sum);
    for (std::size_t i = 0; i < workKindCount; ++i) {
        if (left < m_options.mix[i])
            return static_cast<work_kind>(i);
        left -= m_options.mix[i];
    }
    internal_assert(false) << "no request kind selected; the weights of the mix sum to " << sum;
    return work_kind::Idempotent;
}

duration load_generator::timeLeft(const request& item) const
{
    return item.intended + m_options.timeout - m_hooks.now();
}

void load_generator::send(const request_pointer& item)
{
    item->lastEntry = item->entries->pick(item->tries, item->lastEntry);
    ++item->tries;
    call_events events;
    events.onAnswer = [this, item](const upstream_answer& answer) { handleAnswer(item, answer); };
    events.onFailure = [this, item](call_failure failure) { handleFailure(item, failure); };
    m_client.start(makeCall(*item), std::move(events));
}

upstream_call load_generator::makeCall(const request& item)
{
    const bool isGet = item.kind == work_kind::Idempotent;
    const std::string name = absl::StrCat(m_runName, "-", item.number);
    upstream_call call;
    call.id = call_id(++m_lastCall);
    call.address = item.lastEntry;
    call.method = isGet ? "GET" : "POST";
    call.target = absl::StrCat("/s/", m_options.service.value(), isGet ? m_options.getPath : m_options.postPath);
    call.headers.push_back({ requestNameField, name });
    if (item.kind == work_kind::Keyed)
        call.headers.push_back({ http_fields::idempotencyKey, absl::StrCat("k-", name) });
    if (!isGet)
        call.body = m_body;
    call.timeout = std::max(timeLeft(item), minimumTryTime);
    call.freshConnection = item.kind == work_kind::Unkeyed;
    call.connectionLimit = connectionLimit;
    return call;
}

void load_generator::handleAnswer(const request_pointer& item, const upstream_answer& answer)
{
    request_end ended;
    ended.kind = item->kind;
    ended.outcome = fieldOf(answer, http_fields::outcome);
    ended.reason = fieldOf(answer, http_fields::reason);
    ended.status = answer.status;
    ended.latency = m_hooks.now() - item->intended;
    ended.ownAnswer = isAnswerTo(absl::StrCat(m_runName, "-", item->number), answer);
    // The entry is stopping or not ready. A POST without an idempotency key is sent again only if the answer states
    // that it was not executed.
    const bool isUnavailable = ended.reason == "draining" || ended.reason == "not-ready";
    const bool maySendAgain = ended.outcome == "not-run" || item->kind != work_kind::Unkeyed;
    if (isUnavailable)
        item->entries->reportFailure(item->lastEntry);
    if (isUnavailable && maySendAgain && trySendAgain(item, duration::zero()))
        return;
    if (ended.outcome == "in-progress" && trySendAgain(item, inProgressDelay))
        return;
    end(*item, ended);
}

void load_generator::handleFailure(const request_pointer& item, call_failure failure)
{
    const bool nothingSent = failure == call_failure::ConnectFailed || failure == call_failure::ConnectionLimit;
    if (failure != call_failure::ConnectionLimit)
        item->entries->reportFailure(item->lastEntry);
    const bool maySendAgain = nothingSent || item->kind != work_kind::Unkeyed;
    if (maySendAgain && trySendAgain(item, resendDelay))
        return;
    request_end ended;
    ended.kind = item->kind;
    ended.outcome = nothingSent ? "not-sent" : "no-answer";
    end(*item, ended);
}

bool load_generator::trySendAgain(const request_pointer& item, duration delay)
{
    if (item->tries >= m_options.tries || timeLeft(*item) < delay + minimumTryTime)
        return false;
    m_report.resent();
    m_hooks.schedule(delay, [this, item] { send(item); });
    return true;
}

void load_generator::end(const request& item, request_end end)
{
    internal_assert(item.tries > 0) << "request " << item.number << " ended before it was sent";
    m_report.ended(end);
    --m_openRequests;
    finishIfDone();
}

void load_generator::finishIfDone()
{
    if (m_nextNumber < m_requestCount || m_openRequests > 0 || !m_done)
        return;
    std::uint64_t lookups = 0;
    std::uint64_t failedLookups = 0;
    for (const auto& source : m_sources) {
        source->stop();
        lookups += source->lookups();
        failedLookups += source->failedLookups();
    }
    m_report.setLookups(lookups, failedLookups);
    m_report.setElapsed(m_hooks.now() - m_start);
    std::exchange(m_done, nullptr)();
}

} // namespace plantainlatch
