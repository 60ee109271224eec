#include "runtime/frame_stream.h"

#include <array>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include "absl/strings/str_cat.h"
#include "codec/frame_codec.h"
#include "runtime/sockets.h"

namespace plantainlatch {

namespace {

    constexpr std::size_t readChunkBytes = 64 * 1024;

} // namespace

struct frame_stream::implementation : std::enable_shared_from_this<frame_stream::implementation> {
    bufferevent* connection = nullptr;
    frame_decoder decoder;
    frame_stream_events events;

    explicit implementation(std::size_t maximumPayload)
        : decoder(maximumPayload)
    {
    }

    void release()
    {
        if (connection != nullptr)
            bufferevent_free(connection);
        connection = nullptr;
    }

    void closed(absl::Status status)
    {
        release();
        if (events.onClosed)
            events.onClosed(std::move(status));
    }

    void receive()
    {
        std::array<char, readChunkBytes> chunk {};
        std::size_t size = 0;
        while (connection != nullptr && (size = bufferevent_read(connection, chunk.data(), chunk.size())) > 0) {
            decoder.feed({ chunk.data(), size });
            deliver();
        }
        if (connection != nullptr && events.onBytes)
            events.onBytes();
    }

    void deliver()
    {
        while (connection != nullptr) {
            absl::StatusOr<std::optional<std::string>> frame = decoder.next();
            if (!frame.ok()) {
                closed(frame.status());
                return;
            }
            if (!frame->has_value()) {
                checkMemory();
                return;
            }
            events.onFrame(std::move(**frame));
        }
    }

    void checkMemory()
    {
        if (events.onIncompleteFrame && !events.onIncompleteFrame(decoder.incompleteLength()))
            closed(absl::ResourceExhaustedError("there is no memory for a message"));
    }

    static void onWritten(bufferevent*, void* argument)
    {
        const auto self = static_cast<implementation*>(argument)->shared_from_this();
        if (self->events.onDrained)
            self->events.onDrained();
    }

    static void onRead(bufferevent*, void* argument)
    {
        const auto self = static_cast<implementation*>(argument)->shared_from_this();
        self->receive();
    }

    static void onEvent(bufferevent*, short what, void* argument)
    {
        const auto self = static_cast<implementation*>(argument)->shared_from_this();
        if ((what & BEV_EVENT_CONNECTED) != 0) {
            disableNagle(bufferevent_getfd(self->connection));
            if (self->events.onConnected)
                self->events.onConnected();
            return;
        }
        const bool failed = (what & BEV_EVENT_ERROR) != 0;
        self->closed(absl::UnavailableError(
            failed ? evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()) : "the peer closed the connection"));
    }

    void begin()
    {
        bufferevent_setcb(connection, onRead, onWritten, onEvent, this);
        bufferevent_enable(connection, EV_READ | EV_WRITE);
    }
};

frame_stream::frame_stream(std::shared_ptr<implementation> parts)
    : m_parts(std::move(parts))
{
}

frame_stream::~frame_stream()
{
    // A callback may be running. It holds a reference to the implementation, which thus stays alive until the callback
    // returns; after release() no further callback is called.
    m_parts->release();
}

absl::StatusOr<std::unique_ptr<frame_stream>> frame_stream::connect(
    event_loop& loop, const network_address& address, std::size_t maximumPayload, frame_stream_events events)
{
    auto parts = std::make_shared<implementation>(maximumPayload);
    parts->events = std::move(events);
    parts->connection = bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    parts->begin();
    sockaddr_in target = toSocketAddress(address);
    if (bufferevent_socket_connect(parts->connection, reinterpret_cast<sockaddr*>(&target), sizeof(target)) != 0) {
        parts->release();
        return absl::UnavailableError(absl::StrCat("the connection to ", formatAddress(address), " can't be started"));
    }
    return std::unique_ptr<frame_stream>(new frame_stream(std::move(parts)));
}

std::unique_ptr<frame_stream> frame_stream::accept(
    event_loop& loop, int socket, std::size_t maximumPayload, frame_stream_events events)
{
    auto parts = std::make_shared<implementation>(maximumPayload);
    parts->events = std::move(events);
    disableNagle(socket);
    parts->connection = bufferevent_socket_new(loop.base(), socket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    parts->begin();
    return std::unique_ptr<frame_stream>(new frame_stream(std::move(parts)));
}

void frame_stream::send(std::string_view payload)
{
    if (m_parts->connection == nullptr)
        return;
    const std::string frame = encodeFrame(payload);
    bufferevent_write(m_parts->connection, frame.data(), frame.size());
}

std::size_t frame_stream::backlog() const
{
    if (m_parts->connection == nullptr)
        return 0;
    return evbuffer_get_length(bufferevent_get_output(m_parts->connection));
}

void frame_stream::setMaximumPayload(std::size_t bytes) { m_parts->decoder.setMaximumPayload(bytes); }

} // namespace plantainlatch
