#include <catch2/catch.hpp>

#include "integration/caller_crowd_fixture.h"

namespace plantainlatch {

// Each test guards against a process that uses more memory than its VM has, or more descriptors than it may, or that
// doesn't serve ordinary callers any more, because of the clients that the name states.

TEST_CASE_METHOD(caller_crowd_fixture, "caller_crowd.bodies_one_byte_short.leave_the_entry_serving")
{
    load(entry, callerPort, 24, bodyOneByteShort("POST /v1/x", 16 * mebibyte));
    checkEntry();
}

TEST_CASE_METHOD(caller_crowd_fixture, "caller_crowd.large_chunks_one_byte_short.leave_the_entry_serving")
{
    load(entry, callerPort, 24, chunksOneByteShort("POST /v1/x", 64 * kibibyte, 256));
    checkEntry();
}

TEST_CASE_METHOD(caller_crowd_fixture, "caller_crowd.chunks_of_one_byte.leave_the_entry_serving")
{
    load(entry, callerPort, 64, chunksOneByteShort("POST /v1/x", 1, 2 * mebibyte));
    checkEntry();
}

TEST_CASE_METHOD(caller_crowd_fixture, "caller_crowd.bodies_over_the_limit_announced.leave_the_entry_serving")
{
    load(entry, callerPort, 12, bodyOneByteShort("POST /v1/x", 80 * mebibyte));
    checkEntry();
}

TEST_CASE_METHOD(caller_crowd_fixture, "caller_crowd.bodies_over_the_limit_in_chunks.leave_the_entry_serving")
{
    load(entry, callerPort, 6, chunksOneByteShort("POST /v1/x", 64 * kibibyte, 1'280));
    checkEntry();
}

TEST_CASE_METHOD(caller_crowd_fixture, "caller_crowd.configurations_one_byte_short.leave_the_control_vm_serving")
{
    load(1, controlPort, 24, bodyOneByteShort("POST /Config.Put", 16 * mebibyte));
    CHECK(statusWithRetries(1, controlPort, "GET /Config.Get") == 200);
    checkBounds(1);
}

TEST_CASE_METHOD(caller_crowd_fixture, "caller_crowd.lookups_with_bodies.leave_the_control_vm_serving")
{
    load(1, lookupPort, 24, bodyOneByteShort("POST /resolve?name=h", 16 * mebibyte));
    CHECK(statusWithRetries(1, lookupPort, "GET /resolve?name=h&region=north&zone=north-a") == 200);
    checkBounds(1);
}

// A list of numbers takes 25 times as much memory as its text when it is parsed.
TEST_CASE_METHOD(caller_crowd_fixture, "caller_crowd.configuration_of_many_values.leaves_the_control_vm_serving")
{
    std::string body = R"({"version":"r2","x":[)";
    for (std::size_t i = 0; i < 8 * mebibyte; ++i)
        body += "0,";
    CHECK(statusOf(1, controlPort, "POST /Config.Put", body + "0]}") != 200);
    CHECK(statusWithRetries(1, controlPort, "GET /Config.Get") == 200);
    checkBounds(1);
}

TEST_CASE_METHOD(caller_crowd_fixture, "caller_crowd.idle_and_unfinished_connections.leave_the_entry_serving")
{
    load(entry, callerPort, 200, { "POST /v1/x HTTP/1.1\r\nHost: h\r\n" });
    load(entry, callerPort, 200, {});
    load(entry, callerPort, 200, { "POST /v1/x HTTP/1.1\r\nHost: h\r\n" });
    checkEntry();
}

} // namespace plantainlatch
