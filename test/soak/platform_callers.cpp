#include "soak/platform_callers.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "soak/http_text.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    /** The callers' deadline of 4 s, and a margin for a busy machine. */
    constexpr duration answerLimit = 6s;
    constexpr duration maximumPause = 100ms;
    constexpr int chunkCount = 6;
    constexpr duration maximumChunkPause = 400ms;
    /** How long a caller waits for "100 Continue" before it sends the body without. */
    constexpr duration continueTimeout = 1s;
    /** The bound loss-slack-ms of ajuste-mx: what is cut sooner may have crossed the close. */
    constexpr duration lossSlack = 200ms;
    constexpr int statusContinue = 100;
    constexpr int statusGatewayTimeout = 504;

} // namespace

platform_callers::platform_callers(std::uint64_t seed, event_base* base, kernel_hooks hooks, caller_hooks parts)
    : m_random(seed)
    , m_base(base)
    , m_hooks(std::move(hooks))
    , m_parts(std::move(parts))
{
}

void platform_callers::addCallers(int entry)
{
    using enum caller_kind;
    for (const caller_kind kind :
        { Plain, Plain, Plain, Plain, ReachesLimit, ReachesLimit, SlowChunks, ExpectsContinue, Pipelines }) {
        soak_caller& added = m_callers.emplace_back();
        added.entry = entry;
        added.kind = kind;
        added.nextAt = m_hooks.now();
    }
}

void platform_callers::poll()
{
    const time_point now = m_hooks.now();
    for (soak_caller& caller : m_callers)
        pollCaller(caller);
    m_polledAt = now;
}

void platform_callers::stop()
{
    for (soak_caller& caller : m_callers)
        caller.connection.reset();
}

const char* platform_callers::nameOf(caller_kind kind)
{
    switch (kind) {
    case caller_kind::Plain:
        return "plain";
    case caller_kind::ReachesLimit:
        return "at its limit";
    case caller_kind::SlowChunks:
        return "in chunks";
    case caller_kind::ExpectsContinue:
        return "with 100-continue";
    case caller_kind::Pipelines:
        return "pipelined";
    }
    return "";
}

std::string platform_callers::summary() const
{
    std::string text = absl::StrCat(m_lastRequest, " requests");
    for (const auto& [end, count] : m_ends)
        absl::StrAppend(&text, "; ", end, ": ", count);
    return text;
}

void platform_callers::pollCaller(soak_caller& caller)
{
    if (caller.pending.empty()) {
        beginRequests(caller);
        return;
    }
    takeAnswers(caller);
    if (caller.pending.empty())
        return;
    if (caller.connection->ended) {
        loseConnection(caller);
        return;
    }
    caller.lastOpenAt = m_polledAt;
    if (!caller.pieces.empty() && m_hooks.now() >= caller.nextPieceAt)
        sendPiece(caller);
    const std::optional<time_point> sentAt = caller.pending.front().sentAt;
    if (!sentAt || m_hooks.now() <= *sentAt + answerLimit)
        return;
    m_parts.reportViolation(caller.entry, caller.pending.front().id, "it got no answer");
    caller.pending.clear();
    caller.connection.reset();
}

void platform_callers::beginRequests(soak_caller& caller)
{
    if (m_hooks.now() < caller.nextAt)
        return;
    // Stopping entries are called too: the callers' lists of entries lag behind.
    if (caller.connection == nullptr || caller.connection->ended)
        connect(caller);
    caller.answerBegin = caller.connection->received.size();
    caller.firstByteAt.reset();
    compose(caller);
    sendPiece(caller);
}

void platform_callers::connect(soak_caller& caller)
{
    caller.connection = std::make_unique<raw_client>(m_base, m_parts.addressOf(caller.entry));
    caller.connection->onBytes = [this, &caller] {
        if (!caller.firstByteAt)
            caller.firstByteAt = m_hooks.now();
    };
}

void platform_callers::compose(soak_caller& caller)
{
    const std::string empty = "Content-Length: 0";
    switch (caller.kind) {
    case caller_kind::Plain:
        caller.pieces = { addRequest(caller, m_random() % 2 == 0 ? "GET /lookup/x" : "PUT /deposit/x", empty) };
        return;
    case caller_kind::ReachesLimit:
        caller.pieces = { addRequest(caller, "POST /remake/x", empty) };
        return;
    case caller_kind::SlowChunks:
        caller.pieces = { addRequest(caller, "PUT /deposit/x", "Transfer-Encoding: chunked") };
        caller.pieces.insert(caller.pieces.end(), chunkCount, "5\r\npiece\r\n");
        caller.pieces.emplace_back("0\r\n\r\n");
        return;
    case caller_kind::ExpectsContinue:
        caller.pieces = { addRequest(caller, "PUT /deposit/x", "Content-Length: 4\r\nExpect: 100-continue"), "body" };
        return;
    case caller_kind::Pipelines: {
        // Answers are expected in the order in which the requests are added.
        const std::string first = addRequest(caller, "GET /lookup/x", empty);
        const std::string second = addRequest(caller, "GET /lookup/y", empty);
        caller.pieces = { first + second };
        return;
    }
    }
}

std::string platform_callers::addRequest(soak_caller& caller, const std::string& start, const std::string& framing)
{
    caller.pending.push_back({ absl::StrCat("c", ++m_lastRequest), std::nullopt });
    return absl::StrCat(start,
        " HTTP/1.1\r\nHost: h\r\nX-Deadline-Ms: 4000\r\nX-Request-Id: ", caller.pending.back().id, "\r\n", framing,
        "\r\n\r\n");
}

void platform_callers::sendPiece(soak_caller& caller)
{
    const std::string piece = caller.pieces.front();
    caller.pieces.pop_front();
    const time_point now = m_hooks.now();
    const bool waits = caller.kind == caller_kind::ExpectsContinue;
    caller.nextPieceAt = now + (waits ? continueTimeout : upTo(maximumChunkPause));
    if (caller.pieces.empty()) {
        for (caller_request& request : caller.pending)
            request.sentAt = now;
    }
    caller.connection->send(piece);
}

void platform_callers::takeAnswers(soak_caller& caller)
{
    while (!caller.pending.empty()) {
        const std::string& received = caller.connection->received;
        const std::size_t size = completeAnswerSize(received, caller.answerBegin);
        if (size == 0)
            return;
        const std::string answer = received.substr(caller.answerBegin, size);
        caller.answerBegin += size;
        if (statusOf(answer) == statusContinue)
            caller.nextPieceAt = m_hooks.now();
        else
            finishRequest(caller, answer);
        caller.firstByteAt.reset();
    }
}

void platform_callers::finishRequest(soak_caller& caller, const std::string& answer)
{
    judgeAnswer(caller, answer);
    caller.pending.pop_front();
    caller.nextAt = m_hooks.now() + upTo(maximumPause);
    if (!caller.pieces.empty() || absl::StrContains(answer, "Connection: close"))
        loseConnection(caller);
}

void platform_callers::judgeAnswer(const soak_caller& caller, const std::string& answer)
{
    const caller_request& request = caller.pending.front();
    const int status = statusOf(answer);
    const bool isUpstreams = !fieldOf(answer, "X-Server-Stamp").empty();
    const bool ran = m_parts.hasRun(request.id);
    const char* origin = ran ? " of the entry, after a run" : " of the entry";
    ++m_ends[absl::StrCat(nameOf(caller.kind), " ", status, isUpstreams ? "" : origin)];
    if (isUpstreams && fieldOf(answer, "X-Request-Id") != request.id)
        m_parts.reportViolation(caller.entry, request.id, "it got the answer of another one");
    if (isUpstreams || !ran)
        return;
    const time_point answeredAt = caller.firstByteAt.value_or(m_hooks.now());
    const time_point sentAt = request.sentAt.value_or(answeredAt);
    if (m_parts.isStopping(caller.entry) && m_work.isEndOfStop(caller.entry, sentAt, answeredAt))
        return;
    const duration waited = answeredAt - sentAt;
    // Work at the other routes never reaches their time limits.
    if (caller.kind == caller_kind::ReachesLimit && status == statusGatewayTimeout && waited >= remakeLimit)
        return;
    m_parts.reportViolation(caller.entry, request.id,
        absl::StrCat(m_parts.isStopping(caller.entry) ? "LOST 3, after SIGTERM: " : "",
            "it ran, and the entry answered ", status, " after ",
            std::chrono::duration<double, std::milli>(waited).count(), " ms"));
}

void platform_callers::loseConnection(soak_caller& caller)
{
    for (const caller_request& request : caller.pending)
        judgeLoss(caller, request);
    caller.pending.clear();
    caller.pieces.clear();
    caller.connection.reset();
    caller.nextAt = m_hooks.now() + upTo(maximumPause);
}

void platform_callers::judgeLoss(const soak_caller& caller, const caller_request& request)
{
    const bool ran = m_parts.hasRun(request.id);
    ++m_ends[absl::StrCat(nameOf(caller.kind), " closed", ran ? " after a run" : "")];
    if (ran)
        m_parts.reportViolation(caller.entry, request.id, "LOST 1: it ran, and the entry closed its connection");
    if (!request.sentAt || !m_work.isAround(caller.entry, *request.sentAt, m_hooks.now()))
        return;
    if (ran || caller.lastOpenAt > *request.sentAt + lossSlack)
        m_parts.reportViolation(caller.entry, request.id, "LOST 2, around planned work: it got no complete answer");
}

} // namespace plantainlatch
