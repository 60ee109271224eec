#include "services/http_connection.h"

#include <algorithm>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/time.h>

#include "core/internal_assert.h"
#include "runtime/sockets.h"
#include "services/answer_output.h"
#include "services/lingering_close.h"

namespace plantainlatch {

namespace {

    /** The maximum number of unread bytes that are buffered while a request is handled. */
    constexpr std::size_t pipelinedBytes = 64 * 1024;
    /** The head of a request that is not complete is counted in such steps. */
    constexpr std::size_t headStep = 4 * 1024;
    /** Complete requests that are not larger than this and have no more fields are not counted. */
    constexpr std::size_t uncountedRequest = 1024;
    constexpr std::size_t uncountedFields = 32;
    /** While a request is handled, its head is held as it was received, as the caller's request, as the call to the
     * upstream and as output to it. */
    constexpr std::size_t headCopies = 4;
    /** Less output than this is not counted. */
    constexpr std::size_t uncountedOutput = 1024;
    /** The unread bytes of a large body that the operating system buffers. They are memory of the VM too, and by
     * default there can be tens of megabytes on each connection. */
    constexpr std::size_t unreadBodyBytes = 256 * 1024;
    constexpr std::string_view continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

    timeval toTimeval(duration span)
    {
        const auto whole = std::chrono::duration_cast<std::chrono::seconds>(span);
        return { whole.count(), std::chrono::duration_cast<std::chrono::microseconds>(span - whole).count() };
    }

    answer_loss lossOf(short event)
    {
        if ((event & BEV_EVENT_EOF) != 0)
            return answer_loss::CallerClosed;
        return (event & BEV_EVENT_TIMEOUT) != 0 ? answer_loss::WriteTimeout : answer_loss::ConnectionFailed;
    }

} // namespace

std::shared_ptr<http_connection> http_connection::accept(
    const http_connection_parts& parts, int socket, caller_address caller)
{
    std::shared_ptr<http_connection> connection(new http_connection(parts, socket, caller));
    connection->begin();
    return connection;
}

bool http_connection::hasUnreadInput() const { return peekInput(bufferevent_getfd(m_channel)) == socket_input::Bytes; }

bool http_connection::isClosedByCaller() const { return peekInput(bufferevent_getfd(m_channel)) == socket_input::End; }

http_connection::http_connection(const http_connection_parts& parts, int socket, caller_address caller)
    : m_parts(parts)
    , m_sentFrom(caller)
    , m_channel(bufferevent_socket_new(parts.base, socket, BEV_OPT_CLOSE_ON_FREE))
    , m_parser(parts.limits)
    , m_waitingSince(parts.now())
    , m_requestLease(
          parts.budget, buffer_use::Request, [this] { refuse(http_problem::NoMemory); }, buffer_owner(caller.value()))
    , m_inputLease(parts.budget, buffer_use::PipelinedInput, {}, buffer_owner(caller.value()))
    , m_outputLease(
          parts.budget, buffer_use::Output, [this] { fail(answer_loss::NoMemory); }, buffer_owner(caller.value()))
{
    m_parser.setHold([this](std::size_t bytes) { return hold(bytes); });
    internal_assert(m_channel != nullptr) << "no memory for a connection";
    disableNagle(socket);
}

http_connection::~http_connection()
{
    if (m_channel != nullptr)
        bufferevent_free(m_channel);
}

void http_connection::begin()
{
    const timeval idle = toTimeval(m_parts.idleTimeout);
    bufferevent_setcb(m_channel, readable, written, onEvent, this);
    bufferevent_setwatermark(m_channel, EV_READ, 0, pipelinedBytes);
    bufferevent_set_timeouts(m_channel, &idle, &idle);
    bufferevent_enable(m_channel, EV_READ | EV_WRITE);
}

void http_connection::readable(bufferevent*, void* argument)
{
    const auto self = static_cast<http_connection*>(argument)->shared_from_this();
    self->readRequests();
}

void http_connection::written(bufferevent*, void* argument)
{
    const auto self = static_cast<http_connection*>(argument)->shared_from_this();
    self->outputWritten();
}

void http_connection::onEvent(bufferevent*, short what, void* argument)
{
    const auto self = static_cast<http_connection*>(argument)->shared_from_this();
    const bool writes = self->m_state == state::Writing || self->m_state == state::WritingLast;
    const bool readTimedOut = (what & BEV_EVENT_TIMEOUT) != 0 && (what & BEV_EVENT_READING) != 0;
    if (readTimedOut && (self->isAwaitingAnswer() || writes)) {
        // No read time-out applies until the answer is written. Libevent disables reading when the timer fires, so it
        // is enabled again.
        bufferevent_enable(self->m_channel, EV_READ);
        return;
    }
    if ((what & BEV_EVENT_EOF) != 0 && writes) {
        self->m_state = state::WritingLast;
        self->m_callerClosed = true;
        return;
    }
    if (readTimedOut && self->m_parser.isReadingBody()) {
        self->refuse(http_problem::BodyTimeout);
        return;
    }
    self->fail(lossOf(what));
}

void http_connection::readRequests()
{
    if (std::exchange(m_reading, true))
        return;
    evbuffer* input = m_channel != nullptr ? bufferevent_get_input(m_channel) : nullptr;
    while (m_state == state::Reading && evbuffer_get_length(input) > 0) {
        const std::size_t size = evbuffer_get_contiguous_space(input);
        const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
        const std::size_t used = m_parser.feed({ bytes, size });
        evbuffer_drain(input, used);
        handleParsed();
    }
    m_reading = false;
    if (m_channel != nullptr)
        limitInput();
}

void http_connection::limitInput()
{
    // While the input is at its limit, libevent calls readable() in each iteration of the event loop unless reading is
    // disabled.
    const std::size_t waiting = evbuffer_get_length(bufferevent_get_input(m_channel));
    const bool full = waiting >= pipelinedBytes || !m_inputLease.resize(waiting, false);
    const bool reads = (bufferevent_get_enabled(m_channel) & EV_READ) != 0;
    if (full && reads) {
        bufferevent_disable(m_channel, EV_READ);
        limitUnread(bufferevent_getfd(m_channel), pipelinedBytes);
    } else if (!full && !reads)
        bufferevent_enable(m_channel, EV_READ);
}

void http_connection::handleParsed()
{
    if (m_parser.problem() != http_problem::None) {
        refuse(m_parser.problem());
        return;
    }
    if (!holdRequest()) {
        refuse(http_problem::NoMemory);
        return;
    }
    if (m_parser.takeWaitsForContinue() && !m_parser.isComplete())
        sendContinue();
    if (!m_parser.isComplete()) {
        recordProgress();
        return;
    }
    if (std::exchange(m_hasBodyTimeout, false))
        setReadTimeout(m_parts.idleTimeout);
    m_requestLease.keep();
    m_state = state::Handling;
    m_parts.onRequest(*this);
    // The handler has taken what it needs; another copy of the body would stay until the answer.
    if (m_state == state::Handling)
        m_parser.dropBody();
}

bool http_connection::holdRequest()
{
    if (m_parser.isComplete()) {
        const std::size_t received = m_parser.headSize() + m_parser.request().body.size();
        const bool isCounted = received > uncountedRequest || m_parser.request().headers.size() > uncountedFields;
        if (isCounted)
            return hold(handledBytes());
        m_requestLease.release();
        return true;
    }
    const std::size_t needed = m_parser.neededBytes();
    return hold(m_parser.isReadingBody() ? needed : (needed + headStep - 1) / headStep * headStep);
}

std::size_t http_connection::handledBytes() const
{
    return m_parser.neededBytes() + (headCopies - 1) * m_parser.headMemory();
}

bool http_connection::hold(std::size_t bytes)
{
    const std::size_t former = m_requestLease.bytes();
    if (bytes <= former)
        return true;
    if (!m_requestLease.resize(bytes, true))
        return false;
    if (former <= buffer_budget::maximumSmall && bytes > buffer_budget::maximumSmall)
        limitUnread(bufferevent_getfd(m_channel), unreadBodyBytes);
    return true;
}

void http_connection::recordProgress()
{
    if (!m_parser.isReadingBody())
        return;
    const std::size_t size = m_parser.request().body.size();
    m_requestLease.recordProgress(size - std::exchange(m_progressSize, size));
    if (!std::exchange(m_hasBodyTimeout, true))
        setReadTimeout(std::min(m_parts.idleTimeout, m_parts.bodyTimeout));
    else if (size < m_stepSize + buffer_lease::progressStep)
        return;
    m_stepSize = size;
    m_waitingSince = m_parts.now();
}

void http_connection::setReadTimeout(duration limit)
{
    const timeval read = toTimeval(limit);
    const timeval write = toTimeval(m_parts.idleTimeout);
    bufferevent_set_timeouts(m_channel, &read, &write);
}

void http_connection::refuse(http_problem problem)
{
    const auto self = shared_from_this();
    write(encodeProblem(problem), true);
}

bool http_connection::holdOutput(std::size_t bytes)
{
    return bytes <= uncountedOutput || m_outputLease.resize(bytes, true);
}

void http_connection::outputChanged(evbuffer* output, const evbuffer_cb_info* change, void* argument)
{
    if (change->n_deleted == 0)
        return;
    auto& lease = static_cast<http_connection*>(argument)->m_outputLease;
    if (lease.bytes() == 0)
        return;
    lease.resize(evbuffer_get_length(output), true);
    lease.recordProgress(change->n_deleted);
}

void http_connection::releaseOutput()
{
    if (m_channel != nullptr)
        evbuffer_remove_cb(bufferevent_get_output(m_channel), outputChanged, this);
    m_outputLease.release();
}

bool http_connection::hasPipelinedInput() const
{
    return evbuffer_get_length(bufferevent_get_input(m_channel)) > 0 || hasUnreadInput();
}

void http_connection::answer(const http_answer& answer, bool last)
{
    internal_assert(m_state == state::Handling) << "a connection without a request is answered";
    const auto self = shared_from_this();
    write(answer, (last && !hasPipelinedInput()) || !m_parser.request().keepsConnection);
    if (m_state == state::Reading)
        readRequests();
}

void http_connection::write(const http_answer& answer, bool last)
{
    std::string_view headEnd = "\r\n";
    if (last)
        headEnd = "Connection: close\r\n\r\n";
    else if (m_parser.request().isVersion10)
        headEnd = "Connection: keep-alive\r\n\r\n";
    m_state = last ? state::WritingLast : state::Writing;
    m_parser.dropBody();
    m_requestLease.release();
    answer_output output({ answer.head, headEnd }, answer.body);
    output.send(m_channel);
    const bool waits = evbuffer_get_length(bufferevent_get_output(m_channel)) > 0;
    if (output.unsent() == 0 && !waits) {
        outputWritten();
        return;
    }
    // Counted before it is copied: many answers for which there is no memory may be given at the same time.
    if (!holdOutput(output.unsent())) {
        fail(answer_loss::NoMemory);
        return;
    }
    output.buffer(m_channel);
    evbuffer_add_cb(bufferevent_get_output(m_channel), outputChanged, this);
}

void http_connection::sendContinue()
{
    const shared_body none;
    answer_output output({ continueResponse, {} }, none);
    output.send(m_channel);
    output.buffer(m_channel);
}

void http_connection::outputWritten()
{
    releaseOutput();
    if (m_state == state::Writing) {
        m_parser.next();
        m_state = state::Reading;
        m_progressSize = 0;
        m_stepSize = 0;
        m_waitingSince = m_parts.now();
        readRequests();
        return;
    }
    if (m_state != state::WritingLast)
        return;
    if (!m_callerClosed)
        m_parts.closing.add(std::exchange(m_channel, nullptr));
    finish();
}

void http_connection::close()
{
    if (m_state == state::Closed)
        return;
    releaseOutput();
    m_parts.closing.add(std::exchange(m_channel, nullptr));
    finish();
}

void http_connection::closeUnanswered()
{
    if (m_parser.hasBegun())
        refuse(http_problem::NoMemory);
    else
        close();
}

void http_connection::fail(answer_loss cause)
{
    if (m_state != state::Reading)
        m_parts.onAnswerLost(*this, cause);
    if (m_state == state::Handling) {
        m_state = state::Closed;
        m_parts.onDisconnect(*this);
    }
    finish();
}

void http_connection::finish()
{
    const auto self = shared_from_this();
    m_state = state::Closed;
    m_requestLease.release();
    m_inputLease.release();
    releaseOutput();
    if (m_channel != nullptr)
        bufferevent_free(std::exchange(m_channel, nullptr));
    m_parts.onClosed(*this);
}

} // namespace plantainlatch
