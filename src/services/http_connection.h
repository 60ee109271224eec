#pragma once

/** \file
 * One caller's connection: requests are read, handed on and answered one at a time.
 */

#include <functional>
#include <memory>

#include "services/http_answer.h"
#include "services/http_request_parser.h"

struct bufferevent;
struct event_base;
struct timeval;

namespace plantainlatch {

class http_connection;
class lingering_close;

/** What all connections of a server share; it outlives them. */
struct http_connection_parts {
    event_base* base = nullptr;
    caller_limits limits;
    /** A request must arrive, and an answer be taken, within this time of silence. */
    duration idleTimeout {};
    lingering_close& closing;
    /** A request is whole; it is answered now or later. */
    std::function<void(http_connection&)> onRequest;
    /** The caller left before the answer to its request. */
    std::function<void(http_connection&)> onGone;
    /** The connection is over; its owner drops it. */
    std::function<void(http_connection&)> onClosed;
};

/** A connection from the first byte to the last. What a caller pipelines behind the request that runs waits in a
 * bounded buffer. A caller that closes its sending side has left. */
class http_connection : public std::enable_shared_from_this<http_connection> {
public:
    static std::shared_ptr<http_connection> accept(const http_connection_parts& parts, int socket);
    ~http_connection();
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;

    const received_request& request() const { return m_parser.request(); }
    /** A request waits for its answer. */
    bool isRunning() const { return m_state == state::Running; }
    /** A request has begun to arrive, or its answer is not written yet. */
    bool isBusy() const { return m_state != state::Reading || m_parser.hasBegun(); }

    /** Answers the request that runs; `last` ends the connection after the answer. */
    void answer(const http_answer& answer, bool last);
    /** Ends the connection. */
    void close();

private:
    enum class state {
        /** Waits for a request or reads one. */
        Reading,
        /** A request waits for its answer. */
        Running,
        /** An answer is being written, and another request may follow. */
        Writing,
        /** The last answer is being written. */
        WritingLast,
        Closed,
    };

    http_connection(const http_connection_parts& parts, int socket);

    static void readable(bufferevent*, void* argument);
    static void written(bufferevent*, void* argument);
    static void happened(bufferevent*, short what, void* argument);

    void begin();
    void readRequests();
    void takeParsed();
    void write(const http_answer& answer, bool last);
    void outputWritten();
    void fail();
    void finish();

    const http_connection_parts& m_parts;
    bufferevent* m_channel;
    http_request_parser m_parser;
    state m_state = state::Reading;
    bool m_reading = false;
    bool m_callerEnded = false;
};

} // namespace plantainlatch
