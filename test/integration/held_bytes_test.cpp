#include <cstdlib>
#include <limits>
#include <string>

#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"
#include "integration/caller_crowd_fixture.h"

namespace plantainlatch {

namespace {

    constexpr std::size_t largeAnswer = 7 * mebibyte;
    /** Answers of that size that an entry receives at once without giving any up. */
    constexpr std::size_t answersAtOnce = 8;
    /** What the limits of the budget assume for a process without load. */
    constexpr byte_count memoryWithoutLoad { 20'000'000 };
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

        /** The bytes that the budget of a process counts, but for its connections; the largest number if it does not
         * say. */
        std::size_t heldBytes(int number)
        {
            std::size_t held = std::numeric_limits<std::size_t>::max();
            if (statusOf(number, inspectionPort, "GET /v1/dump") != 200)
                return held;
            const std::string field = "\"held_bytes\":";
            const std::size_t at = lastAnswer.find(field);
            if (at != std::string::npos)
                held = std::strtoull(lastAnswer.c_str() + at + field.size(), nullptr, 10);
            return held;
        }

        /** Clients of an entry and of a control VM that hold bytes in every way. */
        void addCrowdsOfAllKinds()
        {
            constexpr std::size_t each = 30;
            upstream.onRequest = [this](std::size_t connection, const std::string& request) {
                answer(connection, request, std::string(mebibyte, 'a'));
            };
            addClients(entry, callerPort, each, bodyOneByteShort("POST /v1/x", 8 * mebibyte));
            addClients(entry, callerPort, each, chunksOneByteShort("POST /v1/x", 16 * kibibyte, 512));
            addClients(entry, callerPort, each, chunksOneByteShort("POST /v1/x", 1, 64 * kibibyte));
            addClients(entry, callerPort, each, { headOfManyFields() });
            addClients(entry, callerPort, each, { headOfManyFields() + "\r\n" });
            addClients(entry, callerPort, each, unreadRequests(5));
            addClients(entry, callerPort, each, {});
            addClients(entry, inspectionPort, each, unreadRequests(5, "GET /metrics"));
            addClients(1, controlPort, each, bodyOneByteShort("POST /Config.Put", mebibyte));
            addClients(1, controlPort, each, bodyOneByteShort("POST /Instances.Heartbeat/i-2", 256 * kibibyte));
            addClients(1, controlPort, each, unreadRequests(5, "GET /Config.Get"));
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

// Guards against leases that are not returned and memory that stays when crowds of all kinds come together, and again
// and again.
TEST_CASE_METHOD(held_bytes_fixture, "held_bytes.crowds_of_all_kinds_in_turn.leave_nothing_behind")
{
    for (int round = 0; round < 3; ++round) {
        addCrowdsOfAllKinds();
        load(1, lookupPort, 20, bodyOneByteShort("POST /resolve?name=h", mebibyte));
        for (int number = 1; number <= vms.size(); ++number)
            checkBounds(number);
        crowd.clear();
        checkServing();
    }
    for (int number = 1; number <= vms.size(); ++number) {
        CHECK(eventually([&] { return heldBytes(number) == 0; }));
        CHECK(eventually(
            [&] { return vms.residentMemory(number).value() < memoryWithoutLoad.value() + sanitizerMemory[number]; }));
    }
}

} // namespace plantainlatch
