#pragma once

/** \file
 * A caller's HTTP/1 connection. Requests are read, passed to the server and answered one at a time.
 */

#include <functional>
#include <memory>

#include "services/buffer_budget.h"
#include "services/http_answer.h"
#include "services/http_request_parser.h"

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct event_base;
struct timeval;

namespace plantainlatch {

class http_connection;
class lingering_close;

/** Why a connection ended before the answer to a complete request was written. */
enum class answer_loss {
    CallerClosed,
    /** The caller reset the connection, or the connection failed. */
    ConnectionFailed,
    /** The caller read nothing of the answer for the idle timeout. */
    WriteTimeout,
    /** There was no memory for an answer that its caller did not read fast enough. */
    NoMemory,
};

/** Shared by all connections of a server; must outlive them. */
struct http_connection_parts {
    event_base* base = nullptr;
    caller_limits limits;
    /** The connection is closed if for this time no byte of the next request arrives or no byte of an answer can be
     * written. */
    duration idleTimeout {};
    /** A request is answered 408 if for this time no byte of its body arrives. */
    duration bodyTimeout {};
    lingering_close& closing;
    buffer_budget& budget;
    std::function<time_point()> now;
    /** A request is complete. The handler calls answer() at once or later. */
    std::function<void(http_connection&)> onRequest;
    /** The caller disconnected before its request was answered. */
    std::function<void(http_connection&)> onDisconnect;
    /** The connection ends before the answer to the current request is written. Called before `onDisconnect`. */
    std::function<void(const http_connection&, answer_loss)> onAnswerLost;
    /** The connection has ended, and its owner must release it. */
    std::function<void(http_connection&)> onClosed;
};

/** Pipelined requests behind the current one wait in a bounded buffer. A caller that closes its sending side counts as
 * disconnected. */
class http_connection : public std::enable_shared_from_this<http_connection> {
public:
    /** The connection holds bytes for the address `caller`. */
    static std::shared_ptr<http_connection> accept(
        const http_connection_parts& parts, int socket, caller_address caller);
    ~http_connection();
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;

    /** The address of the caller. */
    caller_address sentFrom() const { return m_sentFrom; }
    const received_request& request() const { return m_parser.request(); }
    received_request& request() { return m_parser.request(); }
    /** Whether a request has been received and not been answered. */
    bool isAwaitingAnswer() const { return m_state == state::Handling; }
    /** Whether the connection waits for a request or for the rest of one. */
    bool isReadingRequest() const { return m_state == state::Reading; }
    /** Whether the operating system has received bytes that were not read yet, most likely a request. */
    bool hasUnreadInput() const;
    /** Whether the operating system has received the end of the connection from the caller, or its reset. */
    bool isClosedByCaller() const;
    /** Whether a request has begun to arrive and its answer is not completely written yet. */
    bool isBusy() const { return m_state != state::Reading || m_parser.hasBegun(); }
    /** When the last answer was written, the connection was accepted, or a part of the current body arrived. */
    time_point waitingSince() const { return m_waitingSince; }

    /** Answers the current request; `last` closes the connection after the answer, or, if the caller has already sent
     * the next request, after the answer to that one. */
    void answer(const http_answer& answer, bool last);
    void close();
    /** Closes a connection that is idle or reads a request, which is answered as not run. */
    void closeUnanswered();

private:
    enum class state {
        /** Waiting for a request or reading one. */
        Reading,
        /** The server is handling a request. */
        Handling,
        /** Writing an answer, after which the next request is read. */
        Writing,
        /** Writing the last answer, after which the connection is closed. */
        WritingLast,
        Closed,
    };

    http_connection(const http_connection_parts& parts, int socket, caller_address caller);

    static void readable(bufferevent*, void* argument);
    static void written(bufferevent*, void* argument);
    static void onEvent(bufferevent*, short what, void* argument);

    void begin();
    void readRequests();
    /** Stops reading while too much input waits behind the current request. */
    void limitInput();
    void handleParsed();
    /** Counts the memory of the current request; false if there is no room for it. */
    bool holdRequest();
    /** What the current request takes while it is handled. */
    std::size_t handledBytes() const;
    bool hold(std::size_t bytes);
    void recordProgress();
    void setReadTimeout(duration limit);
    /** Answers a request that was not dispatched, and closes the connection. */
    void refuse(http_problem problem);
    /** Counts the memory of output that the socket did not accept; false if there is no room for it. */
    bool holdOutput(std::size_t bytes);
    void sendContinue();
    static void outputChanged(evbuffer* output, const evbuffer_cb_info* change, void* argument);
    /** Whether the caller has sent bytes after the current request. */
    bool hasPipelinedInput() const;
    void write(const http_answer& answer, bool last);
    void outputWritten();
    /** Ends the count of output, before the channel is freed or passed on. */
    void releaseOutput();
    void fail(answer_loss cause);
    void finish();

    const http_connection_parts& m_parts;
    caller_address m_sentFrom;
    bufferevent* m_channel;
    http_request_parser m_parser;
    state m_state = state::Reading;
    bool m_reading = false;
    bool m_callerClosed = false;
    bool m_hasBodyTimeout = false;
    time_point m_waitingSince;
    /** The size of the body at the last progress, and at the last that counts for the limit on connections. */
    std::size_t m_progressSize = 0;
    std::size_t m_stepSize = 0;
    buffer_lease m_requestLease;
    /** Input behind the current request; never reclaimed, as that request may be running. */
    buffer_lease m_inputLease;
    buffer_lease m_outputLease;
};

} // namespace plantainlatch
