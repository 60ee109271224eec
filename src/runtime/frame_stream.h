#pragma once

/** \file
 * Frames over one TCP connection.
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

/** What happens on a frame_stream; the stream may be destroyed within any of these. */
struct frame_stream_events {
    /** Only for connect(). */
    std::function<void()> onConnected;
    std::function<void(std::string payload)> onFrame;
    /** The connection ended by itself or by an error; not called after close(). */
    std::function<void(absl::Status)> onClosed;
};

/** One TCP connection that carries frames. Destroying it closes the connection. */
class frame_stream {
public:
    /** Begins to connect; the result comes as onConnected or onClosed. */
    static absl::StatusOr<std::unique_ptr<frame_stream>> connect(
        event_loop& loop, const network_address& address, std::size_t largestPayload, frame_stream_events events);
    /** Takes over an accepted socket. */
    static std::unique_ptr<frame_stream> accept(
        event_loop& loop, int socket, std::size_t largestPayload, frame_stream_events events);
    ~frame_stream();

    void send(std::string_view payload);
    /** Bytes that wait to be taken by the operating system. */
    std::size_t backlog() const;
    void setLargestPayload(std::size_t bytes);

private:
    struct implementation;
    explicit frame_stream(std::shared_ptr<implementation> parts);
    std::shared_ptr<implementation> m_parts;
};

/** A listening socket. */
class frame_listener {
public:
    /** AlreadyExists when the address is in use, Unavailable when it can't be bound for another reason. */
    static absl::StatusOr<std::unique_ptr<frame_listener>> create(
        event_loop& loop, const network_address& address, std::function<void(int socket)> onAccept);
    ~frame_listener();

private:
    struct implementation;
    explicit frame_listener(std::unique_ptr<implementation> parts);
    std::unique_ptr<implementation> m_parts;
};

} // namespace plantainlatch
