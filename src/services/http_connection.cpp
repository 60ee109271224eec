#include "services/http_connection.h"

#include <array>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/uio.h>

#include "core/internal_assert.h"
#include "runtime/sockets.h"
#include "services/body_output.h"
#include "services/lingering_close.h"

namespace plantainlatch {

namespace {

    /** The maximum number of unread bytes that are buffered while a request is handled. */
    constexpr std::size_t pipelinedBytes = 64 * 1024;
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

    iovec toVector(std::string_view bytes) { return { const_cast<char*>(bytes.data()), bytes.size() }; }

    /** Sends the parts directly if the output buffer is empty, which saves an iteration of the event loop; bytes that
     * the socket does not accept are added to the output buffer. */
    void sendOrBuffer(bufferevent* channel, std::array<std::string_view, 2> head, const shared_body& body)
    {
        evbuffer* output = bufferevent_get_output(channel);
        std::size_t sent = 0;
        if (evbuffer_get_length(output) == 0) {
            std::array<iovec, 3> vectors { toVector(head[0]), toVector(head[1]), toVector(body.bytes()) };
            msghdr message {};
            message.msg_iov = vectors.data();
            message.msg_iovlen = vectors.size();
            const ssize_t result = sendmsg(bufferevent_getfd(channel), &message, MSG_NOSIGNAL | MSG_DONTWAIT);
            sent = result > 0 ? static_cast<std::size_t>(result) : 0;
        }
        for (std::string_view& part : head) {
            const std::size_t skipped = std::min(sent, part.size());
            part.remove_prefix(skipped);
            sent -= skipped;
            evbuffer_add(output, part.data(), part.size());
        }
        // A reference would keep the whole body, of which the operating system may have taken several MB: with 16 slow
        // readers of 7 MB, the peak was 141 to 150 MB with references and 112 to 116 MB with copies of the rest.
        const std::string_view rest = std::string_view(body.bytes()).substr(sent);
        if (sent > 0)
            evbuffer_add(output, rest.data(), rest.size());
        else
            addBody(output, body);
    }

} // namespace

std::shared_ptr<http_connection> http_connection::accept(const http_connection_parts& parts, int socket)
{
    std::shared_ptr<http_connection> connection(new http_connection(parts, socket));
    connection->begin();
    return connection;
}

bool http_connection::hasUnreadInput() const { return peekInput(bufferevent_getfd(m_channel)) == socket_input::Bytes; }

bool http_connection::isClosedByCaller() const { return peekInput(bufferevent_getfd(m_channel)) == socket_input::End; }

http_connection::http_connection(const http_connection_parts& parts, int socket)
    : m_parts(parts)
    , m_channel(bufferevent_socket_new(parts.base, socket, BEV_OPT_CLOSE_ON_FREE))
    , m_parser(parts.limits)
    , m_idleSince(parts.now())
{
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
    const bool full = evbuffer_get_length(bufferevent_get_input(m_channel)) >= pipelinedBytes;
    const bool reads = (bufferevent_get_enabled(m_channel) & EV_READ) != 0;
    if (full && reads)
        bufferevent_disable(m_channel, EV_READ);
    else if (!full && !reads)
        bufferevent_enable(m_channel, EV_READ);
}

void http_connection::handleParsed()
{
    if (m_parser.problem() != http_problem::None) {
        write(encodeProblem(m_parser.problem()), true);
        return;
    }
    if (m_parser.takeWaitsForContinue() && !m_parser.isComplete())
        sendOrBuffer(m_channel, { continueResponse, {} }, {});
    if (!m_parser.isComplete())
        return;
    m_state = state::Handling;
    m_parts.onRequest(*this);
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
    sendOrBuffer(m_channel, { answer.head, headEnd }, answer.body);
    if (evbuffer_get_length(bufferevent_get_output(m_channel)) == 0)
        outputWritten();
}

void http_connection::outputWritten()
{
    if (m_state == state::Writing) {
        m_parser.next();
        m_state = state::Reading;
        m_idleSince = m_parts.now();
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
    m_parts.closing.add(std::exchange(m_channel, nullptr));
    finish();
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
    if (m_channel != nullptr)
        bufferevent_free(std::exchange(m_channel, nullptr));
    m_parts.onClosed(*this);
}

} // namespace plantainlatch
