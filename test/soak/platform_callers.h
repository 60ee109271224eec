#pragma once

/** \file
 * Callers of a soak run that keep their connections to the entries, and the judgement on how each request ends. A
 * violation of the users' rule LOST names the sentence of the rule:
 * 1: a request on a kept connection ran, and its connection was closed without an answer;
 * 2: around planned work, a request that was sent whole ended without a complete answer;
 * 3: after a SIGTERM, a request that ran got an answer of the entry's own before its time limit.
 */

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "error/raw_client.h"
#include "kernel/hooks.h"
#include "soak/planned_work.h"

struct event_base;

namespace plantainlatch {

/** What the callers learn from the run, and what they report to it. */
struct caller_hooks {
    std::function<network_address(int entry)> addressOf;
    /** Whether the entry is between a SIGTERM and its next start. */
    std::function<bool(int entry)> isStopping;
    /** Whether an upstream has received the request. */
    std::function<bool(const std::string& request)> hasRun;
    std::function<void(int entry, const std::string& request, const std::string& violation)> reportViolation;
};

/** A few callers at each entry; each waits for its answers before it sends again. */
class platform_callers {
public:
    /** The time limit of the route `/remake/`, which many of its requests reach. */
    static constexpr duration remakeLimit = std::chrono::milliseconds(1200);

    platform_callers(std::uint64_t seed, event_base* base, kernel_hooks hooks, caller_hooks parts);

    void addCallers(int entry);
    /** Sends what is due and judges what has arrived. */
    void poll();
    /** Closes all connections. */
    void stop();
    planned_work& work() { return m_work; }
    /** How many requests of each kind ended in which way. */
    std::string summary() const;

private:
    enum class caller_kind { Plain, ReachesLimit, SlowChunks, ExpectsContinue, Pipelines };

    struct caller_request {
        std::string id;
        /** When its last bytes were sent; none while some are left. */
        std::optional<time_point> sentAt;
    };

    struct soak_caller {
        int entry = 0;
        caller_kind kind = caller_kind::Plain;
        std::unique_ptr<raw_client> connection;
        /** The requests without an answer yet, oldest first. */
        std::deque<caller_request> pending;
        /** The bytes of these requests that are left to send. */
        std::deque<std::string> pieces;
        time_point nextPieceAt;
        std::size_t answerBegin = 0;
        std::optional<time_point> firstByteAt;
        /** A time at which the connection was still open. A pause of this process makes it earlier, never later. */
        time_point lastOpenAt;
        time_point nextAt;
    };

    static const char* nameOf(caller_kind kind);
    void pollCaller(soak_caller& caller);
    void beginRequests(soak_caller& caller);
    void connect(soak_caller& caller);
    void compose(soak_caller& caller);
    std::string addRequest(soak_caller& caller, const std::string& start, const std::string& framing);
    void sendPiece(soak_caller& caller);
    void takeAnswers(soak_caller& caller);
    void finishRequest(soak_caller& caller, const std::string& answer);
    void judgeAnswer(const soak_caller& caller, const std::string& answer);
    /** Ends the connection, with the requests that have no answer. */
    void loseConnection(soak_caller& caller);
    void judgeLoss(const soak_caller& caller, const caller_request& request);
    duration upTo(duration limit) { return duration(m_random() % static_cast<std::uint64_t>(limit.count())); }

    std::mt19937_64 m_random;
    event_base* m_base;
    kernel_hooks m_hooks;
    caller_hooks m_parts;
    planned_work m_work;
    /** Callbacks hold pointers to the items. */
    std::deque<soak_caller> m_callers;
    /** When the poll before this one began; events until then have been handled. */
    time_point m_polledAt;
    std::uint64_t m_lastRequest = 0;
    /** How many requests of each kind ended with which status, and whose answer it was. */
    std::map<std::string, std::uint64_t> m_ends;
};

} // namespace plantainlatch
