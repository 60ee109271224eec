#include <memory>
#include <string>
#include <vector>

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "absl/strings/str_cat.h"
#include "error/loop_fixture.h"
#include "error/raw_client.h"
#include "runtime/sockets.h"
#include "services/http_server.h"

namespace plantainlatch {

namespace {

    using Catch::Contains;
    using Catch::StartsWith;
    using namespace std::chrono_literals;

    constexpr std::size_t mebibyte = 1024 * 1024;
    constexpr std::size_t smallRoom = 256 * 1024;
    constexpr std::size_t largeAnswer = 8 * mebibyte;
    constexpr const char* refused = "HTTP/1.1 503";

    /** A server with a budget of 4 MiB for large requests, which answers when the test says so or with a body of a
     * given size at once. */
    class http_memory_fixture : protected loop_fixture {
    protected:
        explicit http_memory_fixture(std::size_t maximumConnections = 100, std::size_t largeRoom = 4 * mebibyte)
        {
            budget = std::make_unique<buffer_budget>(
                hooks, buffer_budget_limits { byte_count(largeRoom), byte_count(smallRoom) });
            http_server_options options;
            options.maximumConnections = maximumConnections;
            options.limits = { byte_count(16 * 1024), byte_count(16 * mebibyte) };
            options.bodyTimeout = 1500ms;
            options.budget = budget.get();
            server = *http_server::create(loop->base(), hooks, { "127.0.0.1", 0 }, options);
            server->addRoute({ "/",
                [this](exchange_id exchange, const http_request_view& request) {
                    bodies.push_back(request.body());
                    if (answersAtOnce)
                        server->respond(exchange, encodeAnswer(200, {}, std::string(answerSize, 'a')));
                    else
                        waiting.push_back(exchange);
                },
                nullptr });
        }

        std::unique_ptr<raw_client> connect(const std::string& bytes)
        {
            auto client = std::make_unique<raw_client>(loop->base(), server->address());
            client->send(bytes);
            return client;
        }

        static std::string headOf(std::size_t length)
        {
            return absl::StrCat("POST /a HTTP/1.1\r\nContent-Length: ", length, "\r\n\r\n");
        }

        void requireSmallRequestServed()
        {
            const auto client = connect(headOf(3) + "abc");
            runUntil([&] { return client->received.starts_with("HTTP/1.1 200"); });
        }

        std::unique_ptr<buffer_budget> budget;
        std::unique_ptr<http_server> server;
        std::vector<std::string> bodies;
        std::vector<exchange_id> waiting;
        std::size_t answerSize = 2;
        bool answersAtOnce = true;
    };

    class two_connections_memory_fixture : protected http_memory_fixture {
    protected:
        two_connections_memory_fixture()
            : http_memory_fixture(2)
        {
        }
    };

    class roomy_memory_fixture : protected http_memory_fixture {
    protected:
        roomy_memory_fixture()
            : http_memory_fixture(100, 4 * largeAnswer)
        {
        }
    };

} // namespace

// Guards against a caller that is told to send a body for which there is no room.
TEST_CASE_METHOD(http_memory_fixture, "http_server.stated_length_without_room.is_refused_before_100_continue")
{
    const auto first = connect(headOf(3 * mebibyte));
    runUntil([&] { return budget->held() >= 3 * mebibyte; });
    const auto second = connect(
        absl::StrCat("POST /a HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: ", 3 * mebibyte, "\r\n\r\n"));
    runUntil([&] { return second->ended; });
    REQUIRE_THAT(second->received, StartsWith(refused));
    REQUIRE_THAT(second->received, Contains("Retry-After: 1\r\n"));
    REQUIRE_THAT(second->received, Contains("not-run"));
    REQUIRE(bodies.empty());
    requireSmallRequestServed();
    first->send(std::string(3 * mebibyte, 'x'));
    runUntil([&] { return first->received.starts_with("HTTP/1.1 200"); });
    REQUIRE(bodies.back().size() == 3 * mebibyte);
    runUntil([&] { return budget->held() == 0; });
}

TEST_CASE_METHOD(http_memory_fixture, "http_server.large_body_without_progress.is_refused_for_another_one")
{
    const auto first = connect(headOf(3 * mebibyte) + std::string(3 * mebibyte - 1, 'x'));
    runUntil([&] { return budget->held() >= 3 * mebibyte; });
    runFor(1200ms);
    const auto second = connect(headOf(3 * mebibyte) + std::string(3 * mebibyte, 'x'));
    runUntil([&] { return second->received.starts_with("HTTP/1.1 200") && first->ended; });
    REQUIRE_THAT(first->received, StartsWith(refused));
    REQUIRE(bodies.size() == 1);
    REQUIRE(budget->reclaimed() == 1);
}

// Guards against a caller that keeps memory by sending a byte now and then.
TEST_CASE_METHOD(http_memory_fixture, "http_server.large_body_sent_byte_by_byte.counts_as_without_progress")
{
    const auto first = connect(headOf(3 * mebibyte));
    for (int i = 0; i < 24; ++i) {
        runFor(50ms);
        first->send("x");
    }
    const auto second = connect(headOf(3 * mebibyte) + std::string(3 * mebibyte, 'x'));
    runUntil([&] { return second->received.starts_with("HTTP/1.1 200") && first->ended; });
    REQUIRE_THAT(first->received, StartsWith(refused));
}

TEST_CASE_METHOD(http_memory_fixture, "http_server.chunks_without_room.are_refused_as_not_run")
{
    const std::string chunk = "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
    std::string body;
    for (int i = 0; i < 6 * 16; ++i)
        body += chunk;
    const auto client = connect("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + body + "0\r\n\r\n");
    runUntil([&] { return client->ended; });
    REQUIRE(bodies.empty());
    REQUIRE(budget->refused() == 1);
    REQUIRE(budget->held() == 0);
    requireSmallRequestServed();
}

TEST_CASE_METHOD(http_memory_fixture, "http_server.body_of_which_nothing_arrives.is_answered_408")
{
    const auto client = connect(headOf(100) + "half");
    runUntil([&] { return client->ended; });
    REQUIRE_THAT(client->received, StartsWith("HTTP/1.1 408"));
    REQUIRE_THAT(client->received, Contains("not-run"));
    REQUIRE(bodies.empty());
    REQUIRE(budget->held() == 0);
}

// Guards against a request that is told not to have run while it is being handled.
TEST_CASE_METHOD(http_memory_fixture, "http_server.request_being_handled.keeps_its_memory_and_is_answered")
{
    answersAtOnce = false;
    const auto first = connect(headOf(3 * mebibyte) + std::string(3 * mebibyte, 'x'));
    runUntil([&] { return waiting.size() == 1; });
    runFor(1200ms);
    const auto second = connect(headOf(3 * mebibyte));
    runUntil([&] { return second->ended; });
    REQUIRE_THAT(second->received, StartsWith(refused));
    server->respond(waiting.front(), encodeAnswer(200, {}, "ok"));
    runUntil([&] { return first->received.ends_with("ok"); });
    REQUIRE(budget->held() == 0);
}

TEST_CASE_METHOD(roomy_memory_fixture, "http_server.answer_to_a_slow_reader.counts_until_it_is_read")
{
    answerSize = largeAnswer;
    const sockaddr_in remote = toSocketAddress(server->address());
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    limitUnread(socket, 16 * 1024);
    REQUIRE(::connect(socket, reinterpret_cast<const sockaddr*>(&remote), sizeof(remote)) == 0);
    const std::string request = "GET /a HTTP/1.1\r\n\r\n";
    REQUIRE(::send(socket, request.data(), request.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(request.size()));
    runUntil([&] { return budget->held() > largeAnswer / 8; });
    std::size_t received = 0;
    std::vector<char> buffer(mebibyte);
    runUntil([&] {
        for (int i = 0; i < 64; ++i) {
            const ssize_t count = ::recv(socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
            received += count > 0 ? static_cast<std::size_t>(count) : 0;
        }
        return received > largeAnswer && budget->held() == 0;
    });
    ::close(socket);
}

// Guards against answers to slow readers that add up to more memory than there is.
TEST_CASE_METHOD(http_memory_fixture, "http_server.answer_to_a_slow_reader_without_room.closes_its_connection")
{
    answerSize = 32 * mebibyte;
    const auto client = connect("GET /a HTTP/1.1\r\n\r\n");
    runUntil([&] { return client->ended; });
    REQUIRE(budget->held() == 0);
    answerSize = 2;
    requireSmallRequestServed();
}

// Guards against unfinished requests that keep all others out.
TEST_CASE_METHOD(two_connections_memory_fixture, "http_server.connection_beyond_the_limit.replaces_an_unfinished_one")
{
    const auto first = connect("POST /a HTTP/1.1\r\n");
    runFor(5ms);
    const auto second = connect("POST /a HTTP/1.1\r\n");
    runFor(5ms);
    requireSmallRequestServed();
    runUntil([&] { return first->ended; });
    REQUIRE_THAT(first->received, StartsWith(refused));
    REQUIRE_FALSE(second->ended);
}

// A caller that reads only after it has sent its whole body would find its connection reset, and not learn that its
// request did not run.
TEST_CASE_METHOD(http_memory_fixture, "http_server.sender_that_goes_on_after_its_refusal.gets_it")
{
    const auto first = connect(headOf(3 * mebibyte));
    runUntil([&] { return budget->held() >= 3 * mebibyte; });
    const int sender = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = toSocketAddress(server->address());
    REQUIRE(::connect(sender, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0);
    const std::string head = headOf(3 * mebibyte);
    const std::string piece(64 * 1024, 'x');
    REQUIRE(send(sender, head.data(), head.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(head.size()));
    for (std::size_t sent = 0; sent < 3 * mebibyte; sent += piece.size()) {
        CHECK(send(sender, piece.data(), piece.size(), MSG_NOSIGNAL | MSG_DONTWAIT) > 0);
        runFor(40ms);
    }
    std::string received(1024, '\0');
    const ssize_t size = recv(sender, received.data(), received.size(), MSG_DONTWAIT);
    CHECK(size > 0);
    CHECK_THAT(received, StartsWith(refused));
    CHECK_THAT(received, Contains("not-run"));
    CHECK(bodies.empty());
    close(sender);
}

} // namespace plantainlatch
