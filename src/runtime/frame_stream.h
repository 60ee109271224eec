#pragma once

/** \file
 * Sends and receives length-prefixed frames over TCP.
 */

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "model/address.h"
#include "runtime/event_loop.h"

namespace plantainlatch {

/** Callbacks of a frame_stream. The stream may be destroyed within any of them. */
struct frame_stream_events {
    /** The connection is established; only for streams that are created by connect(). */
    std::function<void()> onConnected;
    std::function<void(std::string payload)> onFrame;
    /** A frame with a payload of so many bytes has begun to arrive, or 0 if none has. If it returns false, there is no
     * memory for the frame, and the stream is closed. May be empty. */
    std::function<bool(std::size_t bytes)> onIncompleteFrame;
    /** All queued bytes were passed to the operating system. May be empty. */
    std::function<void()> onDrained;
    /** Bytes were received; the frames that they complete were passed to onFrame before. */
    std::function<void()> onBytes;
    /** The peer closed the connection, the connection failed, or a frame was too large; not called when the stream is
     * destroyed. */
    std::function<void(absl::Status)> onClosed;
};

/** A TCP connection that carries frames. Destroying the stream closes the connection. */
class frame_stream {
public:
    /** Starts a non-blocking connect, which ends with onConnected or onClosed. Payloads received above `maximumPayload`
     * bytes close the connection. */
    static absl::StatusOr<std::unique_ptr<frame_stream>> connect(
        event_loop& loop, const network_address& address, std::size_t maximumPayload, frame_stream_events events);
    /** Takes ownership of an accepted socket. */
    static std::unique_ptr<frame_stream> accept(
        event_loop& loop, int socket, std::size_t maximumPayload, frame_stream_events events);
    ~frame_stream();

    /** Queues a frame; does nothing after the connection was closed. */
    void send(std::string_view payload);
    /** The number of queued bytes that were not passed to the operating system yet. */
    std::size_t backlog() const;
    void setMaximumPayload(std::size_t bytes);

private:
    struct implementation;
    explicit frame_stream(std::shared_ptr<implementation> parts);
    std::shared_ptr<implementation> m_parts;
};

} // namespace plantainlatch
