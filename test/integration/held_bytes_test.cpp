#include <string>

#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"
#include "integration/caller_crowd_fixture.h"

namespace plantainlatch {

namespace {

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

} // namespace plantainlatch
