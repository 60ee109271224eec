#include <string>

#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"
#include "integration/caller_crowd_fixture.h"

namespace plantainlatch {

namespace {

    constexpr std::size_t largeAnswer = 7 * mebibyte;
    /** Answers of that size that an entry receives at once without giving any up. */
    constexpr std::size_t answersAtOnce = 8;
    /** Below the limit of an entry with 2,870 descriptors, so that no connection is closed to make room for another. */
    constexpr std::size_t manyClients = 900;

    /** The descriptors of the smallest entry, and an upstream that takes all requests at once. */
    class held_bytes_fixture : protected caller_crowd_fixture {
    protected:
        held_bytes_fixture()
            : caller_crowd_fixture({ 2'870, 40'000, 1'000 })
        {
        }

        void answerWith(const std::string& body)
        {
            upstream.onRequest = [this, body](std::size_t connection, const std::string& request) {
                answer(connection, request, body);
            };
        }

        /** The upstream sends all of each answer but its last byte. */
        void answerOneByteShort(std::size_t size)
        {
            upstream.onRequest = [this, size](std::size_t connection, const std::string&) {
                upstream.send(connection,
                    absl::StrCat("HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nContent-Length: ", size, "\r\n\r\n",
                        std::string(size - 1, 'a')));
            };
        }

        /** A client that sends so many requests without waiting, and reads nothing. */
        static client_load unreadRequests(std::size_t count, const std::string& call = "POST /v1/x")
        {
            client_load load;
            for (std::size_t i = 0; i < count; ++i)
                load.head += headOf(call, absl::StrCat("X-Request-Id: u", i, "\r\nContent-Length: 0"));
            load.reads = false;
            return load;
        }

        void answerNothing()
        {
            upstream.onRequest = [](std::size_t, const std::string&) {};
        }

        /** A head of nearly the largest size, whose fields are as short as possible; without the empty line that ends
         * it. */
        static std::string headOfManyFields()
        {
            constexpr std::size_t fields = 2'600;
            std::string head = "POST /v1/x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n";
            for (std::size_t i = 0; i < fields; ++i)
                head += "a:\r\n";
            return head;
        }

        /** A configuration that takes effect, with a value of that size which has no meaning. */
        std::string configurationWithValue(int version, std::size_t size) const
        {
            std::string document = configuration;
            document.replace(document.find("\"r1\""), 4, absl::StrCat("\"r", version, "\""));
            document.insert(1, absl::StrCat("\"note\":\"", std::string(size, 'n'), "\","));
            return document;
        }

        void checkControl(int number)
        {
            CHECK(statusWithRetries(number, controlPort, "GET /Config.Get") == 200);
            checkBounds(number);
        }

        /** The upstream answers again, and an ordinary caller is served beside the crowd. */
        void checkServing()
        {
            answerWith("ok");
            checkEntry();
        }
    };

} // namespace

// Each test guards against a process that uses more memory than its VM has because of bytes that nothing counts.

TEST_CASE_METHOD(held_bytes_fixture, "held_bytes.heads_of_many_fields_that_stop_short.leave_the_entry_serving")
{
    load(entry, callerPort, manyClients, { headOfManyFields() });
    checkServing();
}

TEST_CASE_METHOD(held_bytes_fixture, "held_bytes.requests_of_many_fields_in_flight.leave_the_entry_serving")
{
    answerNothing();
    load(entry, callerPort, manyClients, { headOfManyFields() + "\r\n" });
    checkServing();
}

TEST_CASE_METHOD(held_bytes_fixture, "held_bytes.input_behind_requests_in_flight.leaves_the_entry_serving")
{
    answerNothing();
    load(entry, callerPort, manyClients,
        { headOf("POST /v1/x", "Content-Length: 0") + std::string(64 * kibibyte, 'x') });
    checkServing();
}

TEST_CASE_METHOD(held_bytes_fixture, "held_bytes.large_answers_that_nobody_reads.leave_the_entry_serving")
{
    answerWith(std::string(largeAnswer, 'a'));
    for (int i = 0; i < 5; ++i)
        load(entry, callerPort, answersAtOnce, unreadRequests(10));
    answerOneByteShort(largeAnswer);
    load(entry, callerPort, answersAtOnce, unreadRequests(1));
    checkServing();
}

TEST_CASE_METHOD(held_bytes_fixture, "held_bytes.answers_of_64_kib_that_nobody_reads.leave_the_entry_serving")
{
    answerWith(std::string(64 * kibibyte, 'a'));
    load(entry, callerPort, manyClients, unreadRequests(100));
    checkServing();
}

TEST_CASE_METHOD(held_bytes_fixture, "held_bytes.configuration_with_a_large_value.leaves_all_vms_serving")
{
    statusOf(1, controlPort, "POST /Config.Put", configurationWithValue(2, 24 * mebibyte));
    for (int number = 1; number <= controlCount; ++number)
        checkControl(number);
    checkEntry();
}

TEST_CASE_METHOD(held_bytes_fixture, "held_bytes.configurations_in_series.leave_all_vms_serving")
{
    for (int version = 2; version < 30; ++version)
        CHECK(statusWithRetries(1 + version % controlCount, controlPort, "POST /Config.Put",
                  configurationWithValue(version, mebibyte))
            == 200);
    for (int number = 1; number <= controlCount; ++number)
        checkControl(number);
    checkEntry();
}

TEST_CASE_METHOD(held_bytes_fixture, "held_bytes.configurations_that_nobody_reads.leave_the_control_vm_serving")
{
    REQUIRE(statusOf(1, controlPort, "POST /Config.Put", configurationWithValue(2, mebibyte)) == 200);
    load(1, controlPort, 200, unreadRequests(10, "GET /Config.Get"));
    checkControl(1);
}

} // namespace plantainlatch
