#include <ctime>
#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "error/descriptor_limit.h"
#include "error/loop_fixture.h"
#include "error/raw_client.h"
#include "runtime/sockets.h"
#include "services/http_server.h"
#include "support/log_fields.h"

namespace plantainlatch {

namespace {

    using Catch::Contains;
    using Catch::EndsWith;
    using Catch::StartsWith;
    using namespace std::chrono_literals;

    constexpr std::size_t headerLimit = 16 * 1024;
    constexpr std::size_t bodyLimit = 200 * 1024;

    /** A server that records the requests and answers each one at once or when the test calls answer(). */
    class server_fixture : protected loop_fixture {
    protected:
        /** A request as the handler received it. */
        struct seen_request {
            exchange_id exchange;
            std::string method;
            std::string path;
            std::string query;
            std::string body;
            std::vector<header_field> headers;
        };

        explicit server_fixture(std::size_t maximumConnections = 100)
        {
            http_server_options options;
            options.maximumConnections = maximumConnections;
            options.limits = { byte_count(headerLimit), byte_count(bodyLimit) };
            options.idleTimeout = 300ms;
            options.unfinishedGrace = 100ms;
            options.nameField = "X-Name";
            hooks.log = [this](const log_event& event) { logged.push_back(event); };
            server = *http_server::create(loop->base(), hooks, { "127.0.0.1", 0 }, options);
            server->addRoute({ "/",
                [this](exchange_id exchange, const http_request_view& request) {
                    seen.push_back({ exchange, std::string(request.method()), std::string(request.path()),
                        std::string(request.query()), request.body(), request.headers() });
                    if (answersAtOnce)
                        answer(exchange);
                },
                [this](exchange_id exchange) { disconnected.push_back(exchange); } });
        }

        void answer(exchange_id exchange) { server->respond(exchange, encodeAnswer(200, {}, "lit")); }

        std::string ask(const std::string& bytes)
        {
            raw_client client(loop->base(), server->address());
            client.send(bytes);
            runUntil([&] { return !client.received.empty(); });
            runFor(5ms);
            return client.received;
        }

        /** Connects and sends a request without running the event loop, so that the server can't see it yet. */
        int sendUnseen(const std::string& bytes)
        {
            const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const sockaddr_in remote = toSocketAddress(server->address());
            REQUIRE(::connect(socket, reinterpret_cast<const sockaddr*>(&remote), sizeof(remote)) == 0);
            sendMore(socket, bytes);
            return socket;
        }

        static void sendMore(int socket, const std::string& bytes)
        {
            REQUIRE(::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
        }

        /** All bytes that the server sends until it closes the connection; closes the socket. */
        std::string receiveAll(int socket)
        {
            std::string received;
            bool ended = false;
            runUntil([&] {
                char buffer[64 * 1024];
                ssize_t count = ::recv(socket, buffer, sizeof(buffer), MSG_DONTWAIT);
                while (count > 0) {
                    received.append(buffer, static_cast<std::size_t>(count));
                    count = ::recv(socket, buffer, sizeof(buffer), MSG_DONTWAIT);
                }
                ended = count == 0 || (count < 0 && errno != EAGAIN);
                return ended;
            });
            ::close(socket);
            return received;
        }

        std::unique_ptr<http_server> server;
        std::vector<seen_request> seen;
        std::vector<exchange_id> disconnected;
        std::vector<log_event> logged;
        bool answersAtOnce = true;
    };

    class two_connections_fixture : protected server_fixture {
    protected:
        two_connections_fixture()
            : server_fixture(2)
        {
        }
    };

} // namespace

TEST_CASE_METHOD(two_connections_fixture, "http_server.connection_beyond_the_limit.replaces_the_one_idle_longest")
{
    const std::string request = "GET /a HTTP/1.1\r\n\r\n";
    raw_client first(loop->base(), server->address());
    raw_client second(loop->base(), server->address());
    for (raw_client* client : { &first, &second }) {
        client->send(request);
        runUntil([&] { return client->received.ends_with("lit"); });
        runFor(2ms);
    }
    raw_client third(loop->base(), server->address());
    third.send(request);
    runUntil([&] { return third.received.ends_with("lit") && first.ended; });
    REQUIRE_FALSE(second.ended);
    REQUIRE_FALSE(third.ended);
}

TEST_CASE_METHOD(two_connections_fixture, "http_server.connection_beyond_the_limit_while_all_are_busy.is_closed")
{
    answersAtOnce = false;
    raw_client first(loop->base(), server->address());
    raw_client second(loop->base(), server->address());
    first.send("GET /a HTTP/1.1\r\n\r\n");
    second.send("GET /a HTTP/1.1\r\n\r\n");
    runUntil([&] { return seen.size() == 2; });
    raw_client third(loop->base(), server->address());
    runUntil([&] { return third.ended; });
    REQUIRE(disconnected.empty());
}

TEST_CASE_METHOD(server_fixture, "http_server.connections_beyond_half_of_the_descriptors.replace_idle_ones")
{
    std::size_t descriptors = 0;
    std::unique_ptr<http_server> limited;
    {
        const descriptor_limit limit(1);
        descriptors = limit.count();
        limited = *http_server::create(loop->base(), hooks, { "127.0.0.1", 0 }, {});
    }
    std::vector<std::unique_ptr<raw_client>> clients;
    for (std::size_t i = 0; i < descriptors; ++i)
        clients.push_back(std::make_unique<raw_client>(loop->base(), limited->address()));
    runUntil([&] { return limited->connections() >= descriptors / 2; });
    runFor(20ms);
    REQUIRE(limited->connections() == descriptors / 2);
}

TEST_CASE_METHOD(server_fixture, "http_server.request_sent_byte_by_byte.is_parsed_like_one_sent_at_once")
{
    raw_client client(loop->base(), server->address());
    for (const char byte : std::string("PUT /a/b?c=%20d HTTP/1.1\r\nX-Club: kokura\r\nContent-Length: 4\r\n\r\nlamp")) {
        client.send(std::string(1, byte));
        runFor(100us);
    }
    runUntil([&] { return !client.received.empty(); });
    REQUIRE(seen.size() == 1);
    REQUIRE(seen.front().method == "PUT");
    REQUIRE(seen.front().path == "/a/b");
    REQUIRE(seen.front().query == "c=%20d");
    REQUIRE(seen.front().body == "lamp");
    REQUIRE(seen.front().headers.size() == 2);
    REQUIRE(seen.front().headers.front().value == "kokura");
}

TEST_CASE_METHOD(server_fixture, "http_server.chunked_body.is_joined_and_its_trailer_fields_are_dropped")
{
    ask("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nlam\r\n2;x=y\r\nps\r\n0\r\nX-Late: 1\r\n\r\n");
    REQUIRE(seen.at(0).body == "lamps");
    REQUIRE(seen.at(0).headers.size() == 1);
}

TEST_CASE_METHOD(server_fixture, "http_server.header_field_close_to_the_limit.is_accepted_completely")
{
    const std::string value(headerLimit - 200, 'x');
    REQUIRE_THAT(ask("GET /a HTTP/1.1\r\nX-Filler: " + value + "\r\n\r\n"), StartsWith("HTTP/1.1 200 "));
    REQUIRE(seen.at(0).headers.at(0).value == value);
}

TEST_CASE_METHOD(server_fixture, "http_server.target_beyond_the_header_limit.is_refused")
{
    REQUIRE_THAT(ask("GET /" + std::string(headerLimit, 'x') + " HTTP/1.1\r\n\r\n"), StartsWith("HTTP/1.1 431 "));
    REQUIRE(seen.empty());
}

TEST_CASE_METHOD(server_fixture, "http_server.target_with_scheme_and_host.is_reduced_to_path_and_query")
{
    ask("GET http://ficu95.example/lohu930/2f?x=1 HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(seen.at(0).path == "/lohu930/2f");
    REQUIRE(seen.at(0).query == "x=1");
}

TEST_CASE_METHOD(server_fixture, "http_server.caller_that_expects_100_continue.gets_it_before_it_sends_the_body")
{
    raw_client client(loop->base(), server->address());
    client.send("POST /a HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
    runUntil([&] { return !client.received.empty(); });
    REQUIRE(client.received == "HTTP/1.1 100 Continue\r\n\r\n");
    REQUIRE(seen.empty());
    client.send("lamp");
    runUntil([&] { return client.received.ends_with("lit"); });
    REQUIRE(seen.at(0).body == "lamp");
}

TEST_CASE_METHOD(server_fixture, "http_server.refusal_while_the_body_still_arrives.can_be_read_by_the_caller")
{
    raw_client client(loop->base(), server->address());
    client.send("POST /a HTTP/1.1\r\nContent-Length: 9000000\r\n\r\n" + std::string(4 * bodyLimit, 'x'));
    runUntil([&] { return client.ended; });
    REQUIRE_THAT(client.received, StartsWith("HTTP/1.1 413 "));
    REQUIRE_THAT(client.received, Contains("Connection: close\r\n") && EndsWith("too large\n"));
    REQUIRE(server->connections() == 0);
}

TEST_CASE_METHOD(server_fixture, "http_server.http_1_0_request_with_keep_alive.gets_a_keep_alive_field")
{
    const std::string answer = ask("GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
    REQUIRE_THAT(answer, Contains("Connection: keep-alive\r\n"));
}

TEST_CASE_METHOD(server_fixture, "http_server.pipelined_input_beyond_its_limit.waits_without_using_the_processor")
{
    answersAtOnce = false;
    constexpr std::size_t requestCount = 300;
    const std::string request = "PUT /a HTTP/1.1\r\nContent-Length: 1000\r\n\r\n" + std::string(1000, 'x');
    raw_client client(loop->base(), server->address());
    for (std::size_t i = 0; i < requestCount; ++i)
        client.send(request);
    runUntil([&] { return seen.size() == 1; });
    runFor(50ms);
    const std::clock_t before = std::clock();
    runFor(400ms);
    const double processorSeconds = static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
    REQUIRE(processorSeconds < 0.05);
    answersAtOnce = true;
    answer(seen.front().exchange);
    runUntil([&] { return seen.size() == requestCount; });
    client.close();
}

TEST_CASE_METHOD(server_fixture, "http_server.idle_connection.is_closed_but_one_that_waits_for_an_answer_is_not")
{
    answersAtOnce = false;
    raw_client idle(loop->base(), server->address());
    raw_client waiting(loop->base(), server->address());
    waiting.send("GET /a HTTP/1.1\r\n\r\n");
    runUntil([&] { return idle.ended && !seen.empty(); });
    runFor(400ms);
    REQUIRE_FALSE(waiting.ended);
    REQUIRE(disconnected.empty());
    answer(seen.front().exchange);
    runUntil([&] { return waiting.received.ends_with("lit"); });
}

TEST_CASE_METHOD(server_fixture, "http_server.caller_that_disconnects_after_the_idle_timeout.is_noticed")
{
    answersAtOnce = false;
    raw_client client(loop->base(), server->address());
    client.send("GET /a HTTP/1.1\r\n\r\n");
    runUntil([&] { return !seen.empty(); });
    runFor(400ms);
    client.close();
    runUntil([&] { return disconnected.size() == 1; });
    answer(seen.front().exchange);
    REQUIRE(server->inFlight() == 0);
}

TEST_CASE_METHOD(server_fixture, "http_server.answer_that_its_caller_does_not_get.is_logged_with_the_cause")
{
    answersAtOnce = false;
    raw_client client(loop->base(), server->address());
    client.send("GET /a HTTP/1.1\r\nX-Name: seven\r\n\r\n");
    runUntil([&] { return !seen.empty(); });
    client.close();
    runUntil([&] { return !logged.empty(); });
    REQUIRE(logged.front().what == "answer-lost");
    REQUIRE(fieldOf(logged.front(), "failure") == "caller-closed");
    REQUIRE(fieldOf(logged.front(), "request") == "seven");
    REQUIRE(fieldOf(logged.front(), "answered") == "no");
    REQUIRE(fieldOf(logged.front(), "stopping") == "no");
}

TEST_CASE_METHOD(server_fixture, "http_server.answer_larger_than_the_socket_buffer.is_delivered_completely")
{
    answersAtOnce = false;
    raw_client client(loop->base(), server->address());
    client.send("GET /a HTTP/1.1\r\n\r\n");
    runUntil([&] { return !seen.empty(); });
    const std::string body(8 * 1024 * 1024, 'y');
    server->respond(seen.front().exchange, encodeAnswer(200, {}, body));
    runUntil([&] { return client.received.size() > body.size(); });
    REQUIRE_THAT(client.received, StartsWith("HTTP/1.1 200 OK\r\nContent-Length: 8388608\r\n"));
    REQUIRE_FALSE(client.ended);
}

// Guards against answers that stay in memory for callers that never read them.
TEST_CASE_METHOD(server_fixture, "http_server.caller_that_reads_nothing_for_the_write_timeout.is_disconnected")
{
    answersAtOnce = false;
    const int caller = sendUnseen("GET /a HTTP/1.1\r\n\r\n");
    runUntil([&] { return seen.size() == 1; });
    server->respond(seen.front().exchange, encodeAnswer(200, {}, std::string(16 * 1024 * 1024, 'y')));
    runFor(100ms);
    REQUIRE(server->connections() == 1);
    runUntil([&] { return server->connections() == 0; });
    REQUIRE(logged.back().what == "answer-lost");
    REQUIRE(fieldOf(logged.back(), "failure") == "write-timeout");
    ::close(caller);
}

// Guards against a second answer that is damaged or lost because the socket was full when it was written.
TEST_CASE_METHOD(server_fixture, "http_server.large_answers_on_one_connection.are_delivered_in_order_and_unchanged")
{
    answersAtOnce = false;
    raw_client client(loop->base(), server->address());
    client.send("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n");
    std::string expected;
    for (const char filler : { 'y', 'z' }) {
        const std::size_t answered = filler == 'y' ? 0 : 1;
        runUntil([&] { return seen.size() == answered + 1; });
        const std::string body(8 * 1024 * 1024, filler);
        expected += "HTTP/1.1 200 OK\r\nContent-Length: 8388608\r\n\r\n" + body;
        server->respond(seen.back().exchange, encodeAnswer(200, {}, body));
    }
    runUntil([&] { return client.received.size() >= expected.size(); });
    REQUIRE((client.received == expected));
}

TEST_CASE_METHOD(server_fixture, "http_server.request_on_a_connection_in_the_backlog.is_answered_during_a_stop")
{
    const int caller = sendUnseen("GET /a HTTP/1.1\r\n\r\n");
    server->closeAfterAnswers();
    server->stopListening();
    REQUIRE_THAT(receiveAll(caller), StartsWith("HTTP/1.1 200"));
    REQUIRE(seen.size() == 1);
}

TEST_CASE_METHOD(server_fixture, "http_server.request_just_received_on_an_idle_connection.is_answered_during_a_stop")
{
    const int caller = sendUnseen("GET /a HTTP/1.1\r\n\r\n");
    runUntil([&] { return seen.size() == 1; });
    runFor(5ms);
    sendMore(caller, "GET /b HTTP/1.1\r\n\r\n");
    server->closeAfterAnswers();
    server->stopListening();
    const std::string received = receiveAll(caller);
    REQUIRE(seen.size() == 2);
    REQUIRE_THAT(received, EndsWith("lit"));
}

TEST_CASE_METHOD(server_fixture, "http_server.answer_to_a_slow_reader.is_delivered_completely_during_a_stop")
{
    answersAtOnce = false;
    const int caller = sendUnseen("GET /a HTTP/1.1\r\n\r\n");
    runUntil([&] { return seen.size() == 1; });
    const std::string body(8 * 1024 * 1024, 'y');
    server->respond(seen.front().exchange, encodeAnswer(200, {}, body));
    bool stopped = false;
    server->asService().stop([&] { stopped = true; });
    runFor(200ms);
    REQUIRE(receiveAll(caller).size() > body.size());
    runUntil([&] { return stopped; });
}

TEST_CASE_METHOD(server_fixture, "http_server.pipelined_request.is_answered_during_a_stop")
{
    answersAtOnce = false;
    const int caller = sendUnseen("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n");
    runUntil([&] { return seen.size() == 1; });
    server->closeAfterAnswers();
    answersAtOnce = true;
    answer(seen.front().exchange);
    const std::string received = receiveAll(caller);
    REQUIRE(seen.size() == 2);
    REQUIRE(received.find("Connection: close") > received.find("lit"));
    REQUIRE_THAT(received, EndsWith("Connection: close\r\n\r\nlit"));
}

TEST_CASE_METHOD(loop_fixture, "event_loop.warning_of_the_library.goes_to_the_log_of_the_hooks")
{
    std::vector<log_event> lines;
    const kernel_hooks logging = loop->hooks([&](const log_event& line) { lines.push_back(line); });
    logging.schedule(duration::zero(), [this] {
        // A loop within a loop is refused with a warning.
        event_base_loop(loop->base(), EVLOOP_NONBLOCK);
        loop->stop();
    });
    loop->run();
    REQUIRE(lines.size() == 1);
    REQUIRE(lines.front().level == log_level::Warning);
}

TEST_CASE_METHOD(loop_fixture, "event_loop.clock.counts_the_time_during_which_the_machine_was_suspended")
{
    timespec moment {};
    clock_gettime(CLOCK_BOOTTIME, &moment);
    const duration sinceBoot = std::chrono::seconds(moment.tv_sec) + std::chrono::nanoseconds(moment.tv_nsec);
    const duration shown = hooks.now().time_since_epoch();
    REQUIRE(shown >= sinceBoot);
    REQUIRE(shown < sinceBoot + 1s);
}

} // namespace plantainlatch
