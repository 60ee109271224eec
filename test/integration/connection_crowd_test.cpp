#include <catch2/catch.hpp>

#include "integration/caller_crowd_fixture.h"

namespace plantainlatch {

namespace {

    constexpr std::uint16_t peerPort = 7660;
    /** More than the descriptors of a process at each address. */
    constexpr std::size_t connectionsPerAddress = 300;

} // namespace

// Each test guards against connections that take the descriptors which others need.

TEST_CASE_METHOD(caller_crowd_fixture, "connection_crowd.at_every_address_of_an_entry.leaves_it_serving")
{
    const client_load unfinished { "POST /v1/x HTTP/1.1\r\nHost: h\r\n" };
    for (const std::uint16_t port : { callerPort, readyPort, inspectionPort, peerPort }) {
        load(entry, port, connectionsPerAddress, unfinished);
        load(entry, port, connectionsPerAddress, {});
    }
    CHECK(statusWithRetries(entry, readyPort, "GET /ready") == 200);
    checkEntry();
}

TEST_CASE_METHOD(caller_crowd_fixture, "connection_crowd.at_all_addresses_at_once.leaves_an_entry_serving")
{
    upstream.onRequest = [](std::size_t, const std::string&) {};
    for (const std::uint16_t port : { readyPort, inspectionPort, peerPort })
        addClients(entry, port, connectionsPerAddress, {});
    load(entry, callerPort, connectionsPerAddress, { headOf("POST /v1/x", "Content-Length: 0") });
    upstream.onRequest
        = [this](std::size_t connection, const std::string& request) { answer(connection, request, "ok"); };
    checkEntry();
}

TEST_CASE_METHOD(caller_crowd_fixture, "connection_crowd.at_all_addresses_at_once.leaves_a_control_vm_serving")
{
    for (const std::uint16_t port : { lookupPort, inspectionPort, peerPort })
        addClients(1, port, connectionsPerAddress, {});
    load(1, controlPort, connectionsPerAddress, { "POST /Instances.Heartbeat/i-2 HTTP/1.1\r\nHost: h\r\n" });
    CHECK(sendHeartbeat());
    CHECK(statusWithRetries(1, controlPort, "GET /Config.Get") == 200);
    CHECK(statusWithRetries(1, lookupPort, "GET /resolve?name=h&region=north&zone=north-a") == 200);
    checkBounds(1);
    checkEntry();
}

} // namespace plantainlatch
