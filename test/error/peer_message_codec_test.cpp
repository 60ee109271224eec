#include <string>

#include <catch2/catch.hpp>
#include <sys/resource.h>

#include "codec/peer_message_codec.h"

namespace plantainlatch {

namespace {

    class peer_message_codec_fixture {
    protected:
        static peer_message snapshotMessage()
        {
            snapshot_request request;
            request.term = log_term(7);
            request.leader = { vm_id("e1"), incarnation(3) };
            request.snapshot.index = log_index(42);
            request.snapshot.state.directory[upstream_id("booking-1")].announcement.slots = slot_count(6);
            request.snapshot.state.keys[{ service_id("billing"), idempotency_key("k1") }].answer
                = upstream_answer { 201, {}, "done" };
            return consensus_message(request);
        }
    };

} // namespace

TEST_CASE_METHOD(peer_message_codec_fixture, "peer_message_codec.snapshot_message.decodes_to_what_was_encoded")
{
    const std::string bytes = encodePeerMessage(snapshotMessage());
    const auto decoded = decodePeerMessage(bytes);
    REQUIRE(decoded.ok());
    REQUIRE(encodePeerMessage(*decoded) == bytes);
    const auto& request = std::get<snapshot_request>(std::get<consensus_message>(*decoded));
    REQUIRE(request.snapshot.index == log_index(42));
    REQUIRE(request.snapshot.state.keys.begin()->second.answer->body == "done");
}

TEST_CASE_METHOD(peer_message_codec_fixture, "peer_message_codec.truncated_or_malformed_bytes.are_rejected")
{
    const std::string bytes = encodePeerMessage(snapshotMessage());
    for (std::size_t size = 0; size < bytes.size(); ++size)
        REQUIRE_FALSE(decodePeerMessage(bytes.substr(0, size)).ok());
    REQUIRE_FALSE(decodePeerMessage(bytes + "x").ok());
    REQUIRE_FALSE(decodePeerMessage("\xdd\xff\xff\xff\xff").ok());
    REQUIRE_FALSE(decodePeerMessage("hello").ok());
}

TEST_CASE_METHOD(peer_message_codec_fixture,
    "peer_message_codec.announced_length_beyond_the_bytes.is_rejected_before_memory_is_allocated")
{
    // An array of 8 whose first element announces a map of 2^24 - 1 pairs. Found by tools/run_fuzz: the decoder
    // allocated the memory for the announced elements before it noticed that their bytes were missing.
    const std::string claim("\x98\xdf\x00\xff\xff\xff", 6);
    rlimit former {};
    REQUIRE(getrlimit(RLIMIT_AS, &former) == 0);
    rlimit bounded = former;
    bounded.rlim_cur = 512UL * 1024 * 1024;
    REQUIRE(setrlimit(RLIMIT_AS, &bounded) == 0);
    const auto decoded = decodePeerMessage(claim);
    REQUIRE(setrlimit(RLIMIT_AS, &former) == 0);
    REQUIRE_FALSE(decoded.ok());
    REQUIRE_THAT(std::string(decoded.status().message()), Catch::Contains("size overflow"));
}

} // namespace plantainlatch
