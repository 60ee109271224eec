#include <string>

#include <catch2/catch.hpp>

#include "services/http_answer_validator.h"

namespace plantainlatch {

namespace {

    constexpr std::size_t headLimit = 1024;

    struct validated_answer {
        std::string bytes;
        int code = 200;
        std::uint64_t bodyBytes = 0;
        bool head = false;
    };

} // namespace

TEST_CASE("http_answer_validator.valid_answer_byte_by_byte.is_complete_with_its_last_byte")
{
    const auto sample = GENERATE(values<validated_answer>({
        { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nlight", 200, 5 },
        { "HTTP/1.1 200 \r\nContent-Length: 0\r\n\r\n", 200, 0 },
        { "HTTP/1.0 404 Not Found\r\nX-A:\r\nContent-Length: 2\r\n\r\n\r\n", 404, 2 },
        { "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n5;a=\"b c\"\r\nlight\r\n0b\r\n+++++++++++\r\n0\r\n\r\n",
            200, 16 },
        { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nlight\r\n0\r\nX-Court: 7\r\n\r\n", 200, 5 },
        { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: "
          "2\r\n\r\nok",
            200, 2 },
        { "HTTP/1.1 101 Switching Protocols\r\n\r\n", 101, 0 },
        { "HTTP/1.1 204 No Content\r\n\r\n", 204, 0 },
        { "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", 304, 0 },
        { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", 200, 0, true },
    }));
    CAPTURE(sample.bytes);
    http_answer_validator subject(sample.head, headLimit);
    for (const char& byte : sample.bytes) {
        REQUIRE_FALSE(subject.isComplete());
        subject.feed({ &byte, 1 });
        REQUIRE(subject.status().ok());
    }
    REQUIRE(subject.isComplete());
    REQUIRE(subject.code() == sample.code);
    REQUIRE(subject.bodyBytes() == sample.bodyBytes);
    subject.feed("HTTP/1.1 2000");
    subject.endOfStream();
    REQUIRE(subject.status().ok());
}

TEST_CASE("http_answer_validator.body_without_a_length.is_complete_with_the_end_of_the_stream")
{
    http_answer_validator subject(false, headLimit);
    subject.feed("HTTP/1.1 200 OK\r\n\r\nlight");
    REQUIRE_FALSE(subject.isComplete());
    subject.endOfStream();
    REQUIRE(subject.isComplete());
    REQUIRE(subject.bodyBytes() == 5);
}

TEST_CASE("http_answer_validator.end_of_the_stream_within_an_answer.is_invalid")
{
    const auto bytes
        = GENERATE(as<std::string> {}, "", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nligh",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nlight\r\n", "HTTP/1.1 100 Continue\r\n\r\n");
    http_answer_validator subject(false, headLimit);
    subject.feed(bytes);
    REQUIRE(subject.status().ok());
    subject.endOfStream();
    REQUIRE_FALSE(subject.isComplete());
    REQUIRE_FALSE(subject.status().ok());
}

// Guards against a status below 100 that is skipped like an informational answer.
TEST_CASE("http_answer_validator.status_outside_100_to_599.is_invalid_at_the_end_of_its_line")
{
    const auto status = GENERATE(as<std::string> {}, "000", "001", "099", "600", "999", " 20", "2000");
    const auto before = GENERATE(as<std::string> {}, "", "HTTP/1.1 103 x\r\nLink: a\r\n\r\n");
    CAPTURE(status, before);
    http_answer_validator subject(false, headLimit);
    const std::string bytes = before + "HTTP/1.1 " + status + " x\r\n\r\n";
    for (const char& byte : bytes)
        subject.feed({ &byte, 1 });
    REQUIRE_FALSE(subject.status().ok());
    subject.feed("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    REQUIRE_FALSE(subject.isComplete());
}

TEST_CASE("http_answer_validator.head_beyond_its_limit.is_invalid")
{
    http_answer_validator subject(false, headLimit);
    subject.feed("HTTP/1.1 200 OK\r\nX-A: " + std::string(headLimit, 'x'));
    REQUIRE_FALSE(subject.status().ok());
}

} // namespace plantainlatch
