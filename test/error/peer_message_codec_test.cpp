#include <memory>
#include <random>
#include <string>

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <sys/resource.h>
#include <zstd.h>

#include "codec/msgpack_codec.h"
#include "codec/peer_message_codec.h"

namespace plantainlatch {

namespace {

    /** A configuration as it was stored before it had its admission. */
    struct former_configuration {
        configuration content;

        template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
        {
            auto& from = self.content;
            visit(from.number, from.regions, from.links, from.services, from.shares, from.upstreams,
                from.withdrawnUpstreams, from.shifts, from.routes, from.document, from.accounts);
        }
    };

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

        /** A message with `body` in the answer of an idempotency key. */
        static peer_message messageWith(const std::string& body)
        {
            snapshot_request request;
            request.snapshot.state.keys[{ service_id("billing"), idempotency_key("k1") }].answer
                = upstream_answer { 201, {}, body };
            return consensus_message(request);
        }

        static std::string messageText(int lines)
        {
            std::string text;
            for (int i = 0; i < lines; ++i)
                text += "route-" + std::to_string(i) + " bookings.example /a/" + std::to_string(7919LL * i) + "/\n";
            return text;
        }

        static std::string randomBytes(std::size_t count)
        {
            std::mt19937 generator(2026);
            std::string bytes;
            while (bytes.size() < count)
                bytes += static_cast<char>(generator());
            return bytes;
        }

        static peer_message_form formOf(const std::string& encoded)
        {
            return static_cast<peer_message_form>(encoded.at(0));
        }

        static std::string plainMessage(const std::string& content) { return std::string(1, '\0') + content; }
        static std::string compressedMessage(const std::string& frame) { return std::string(1, '\1') + frame; }

        static std::string compressedWithoutContentSize(const std::string& content)
        {
            std::string frame(ZSTD_compressBound(content.size()), '\0');
            ZSTD_CCtx* context = ZSTD_createCCtx();
            ZSTD_CCtx_setParameter(context, ZSTD_c_contentSizeFlag, 0);
            frame.resize(ZSTD_compress2(context, frame.data(), frame.size(), content.data(), content.size()));
            ZSTD_freeCCtx(context);
            return frame;
        }

        static std::size_t plainSize(const peer_message& message) { return msgpack_codec::encode(message).size(); }

        std::unique_ptr<peer_message_codec> codec = *peer_message_codec::create();
    };

} // namespace

TEST_CASE_METHOD(peer_message_codec_fixture, "peer_message_codec.snapshot_message.decodes_to_what_was_encoded")
{
    const std::string bytes = codec->encode(snapshotMessage());
    const auto decoded = codec->decode(bytes);
    REQUIRE(decoded.ok());
    REQUIRE(codec->encode(*decoded) == bytes);
    const auto& request = std::get<snapshot_request>(std::get<consensus_message>(*decoded));
    REQUIRE(request.snapshot.index == log_index(42));
    REQUIRE(request.snapshot.state.keys.begin()->second.answer->body == "done");
}

// Guards against an upgrade that can't read a configuration of a version without the admission, or drops its accounts.
TEST_CASE("msgpack_codec.configuration_of_a_former_version.needs_a_credential_if_it_has_accounts")
{
    former_configuration former;
    former.content.admission = caller_admission::Everyone;
    for (const bool hasAccounts : { false, true }) {
        if (hasAccounts)
            former.content.accounts[account_id("shop")].id = account_id("shop");
        const auto decoded = msgpack_codec::decode<configuration>(msgpack_codec::encode(former));
        REQUIRE(decoded.ok());
        REQUIRE(decoded->admission == caller_admission::Unrecorded);
        REQUIRE(needsCredential(*decoded) == hasAccounts);
    }
}

TEST_CASE_METHOD(peer_message_codec_fixture, "peer_message_codec.truncated_or_malformed_bytes.are_rejected")
{
    const std::string bytes = codec->encode(snapshotMessage());
    for (std::size_t size = 0; size < bytes.size(); ++size)
        REQUIRE_FALSE(codec->decode(bytes.substr(0, size)).ok());
    REQUIRE_FALSE(codec->decode(bytes + "x").ok());
    REQUIRE_FALSE(codec->decode(plainMessage("\xdd\xff\xff\xff\xff")).ok());
    REQUIRE_FALSE(codec->decode(plainMessage("hello")).ok());
    REQUIRE_FALSE(codec->decode(compressedMessage("hello")).ok());
    REQUIRE_FALSE(codec->decode("\x02" + bytes.substr(1)).ok());
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
    const auto decoded = codec->decode(plainMessage(claim));
    REQUIRE(setrlimit(RLIMIT_AS, &former) == 0);
    REQUIRE_FALSE(decoded.ok());
    REQUIRE_THAT(std::string(decoded.status().message()), Catch::Contains("size overflow"));
}

TEST_CASE_METHOD(peer_message_codec_fixture, "peer_message_codec.sizes_around_the_limit.decode_to_what_was_encoded")
{
    const std::size_t overhead = plainSize(messageWith(std::string(500, 'x'))) - 500;
    for (const int difference : { -2, -1, 0, 1, 2 }) {
        const std::size_t size = peer_message_codec::minimumCompressed + static_cast<std::size_t>(difference);
        const peer_message message = messageWith(std::string(size - overhead, 'x'));
        REQUIRE(plainSize(message) == size);
        const std::string bytes = codec->encode(message);
        REQUIRE(formOf(bytes) == (difference < 0 ? peer_message_form::Plain : peer_message_form::Compressed));
        REQUIRE(codec->encode(*codec->decode(bytes)) == bytes);
    }
}

TEST_CASE_METHOD(peer_message_codec_fixture, "peer_message_codec.message_that_does_not_become_smaller.is_sent_plain")
{
    const peer_message message = messageWith(randomBytes(100'000));
    const std::string bytes = codec->encode(message);
    REQUIRE(formOf(bytes) == peer_message_form::Plain);
    REQUIRE(bytes.size() == plainSize(message) + 1);
    REQUIRE(codec->encode(*codec->decode(bytes)) == bytes);
}

TEST_CASE_METHOD(peer_message_codec_fixture, "peer_message_codec.message_above_the_compressed_limit.is_sent_plain")
{
    const peer_message message = messageWith(std::string(maximumCompressedContent, 'x'));
    REQUIRE(formOf(codec->encode(message)) == peer_message_form::Plain);
}

TEST_CASE_METHOD(peer_message_codec_fixture, "peer_message_codec.truncated_compressed_message.is_rejected")
{
    const std::string bytes = codec->encode(messageWith(messageText(200)));
    REQUIRE(formOf(bytes) == peer_message_form::Compressed);
    for (std::size_t size = 0; size < bytes.size(); ++size)
        REQUIRE(absl::IsInvalidArgument(codec->decode(bytes.substr(0, size)).status()));
}

TEST_CASE_METHOD(peer_message_codec_fixture, "peer_message_codec.bytes_after_a_compressed_message.are_rejected")
{
    const std::string bytes = codec->encode(messageWith(messageText(200)));
    const std::string skippableFrame("\x50\x2a\x4d\x18\0\0\0\0", 8);
    for (const std::string& further : { std::string("x"), skippableFrame, bytes.substr(1) })
        REQUIRE(absl::IsInvalidArgument(codec->decode(bytes + further).status()));
    REQUIRE(absl::IsInvalidArgument(codec->decode(compressedMessage(skippableFrame)).status()));
}

TEST_CASE_METHOD(peer_message_codec_fixture, "peer_message_codec.changed_byte.is_rejected_or_changes_nothing")
{
    const std::string bytes = codec->encode(messageWith(messageText(200)));
    REQUIRE(rc::check("changed byte", [&] {
        std::string changed = bytes;
        const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
        changed[position] = static_cast<char>(changed[position] ^ *rc::gen::inRange(1, 256));
        const auto decoded = codec->decode(changed);
        // One bit of a frame's header has no meaning.
        if (decoded.ok())
            RC_ASSERT(codec->encode(*decoded) == bytes);
    }));
}

TEST_CASE_METHOD(peer_message_codec_fixture, "peer_message_codec.any_body.decodes_to_what_was_encoded")
{
    REQUIRE(rc::check("body", [&](const std::string& part) {
        std::string body;
        for (int repeats = *rc::gen::inRange(1, 200); repeats > 0; --repeats)
            body += part;
        const peer_message message = messageWith(body);
        const auto decoded = codec->decode(codec->encode(message));
        RC_ASSERT(decoded.ok());
        RC_ASSERT(msgpack_codec::encode(*decoded) == msgpack_codec::encode(message));
    }));
}

TEST_CASE_METHOD(
    peer_message_codec_fixture, "peer_message_codec.stated_content_above_the_limit.is_rejected_before_it_is_allocated")
{
    const auto compressor = *byte_compressor::create();
    const std::string bomb = *compressor->compress(std::string(maximumCompressedContent + 1, 'x'));
    REQUIRE(absl::IsResourceExhausted(codec->decode(compressedMessage(bomb)).status()));
    // The header of a frame with a content of 2^62 bytes, and an empty last block.
    const std::string claim("\x28\xb5\x2f\xfd\xe0\0\0\0\0\0\0\0\x40\x01\0\0", 16);
    REQUIRE(absl::IsResourceExhausted(codec->decode(compressedMessage(claim)).status()));
    const std::string fitting = *compressor->compress(std::string(maximumCompressedContent, 'x'));
    REQUIRE(compressor->decompress(fitting, maximumCompressedContent)->size() == maximumCompressedContent);
}

TEST_CASE_METHOD(peer_message_codec_fixture, "peer_message_codec.frame_without_its_content_size.is_rejected")
{
    const std::string plain = msgpack_codec::encode(messageWith(messageText(200)));
    const auto decoded = codec->decode(compressedMessage(compressedWithoutContentSize(plain)));
    REQUIRE(absl::IsInvalidArgument(decoded.status()));
    REQUIRE_THAT(std::string(decoded.status().message()), Catch::Contains("do not state the size"));
}

TEST_CASE_METHOD(peer_message_codec_fixture, "peer_message_codec.message_for_several_vms.is_the_same_for_each")
{
    const peer_message first = messageWith(messageText(2000));
    const peer_message second = messageWith(messageText(2001));
    const std::string encoded = codec->encode(first);
    REQUIRE(codec->encode(first) == encoded);
    REQUIRE(codec->encode(second) != encoded);
    REQUIRE(codec->encode(first) == encoded);
    REQUIRE(msgpack_codec::encode(*codec->decode(encoded)) == msgpack_codec::encode(first));
}

TEST_CASE_METHOD(peer_message_codec_fixture, "peer_message_codec.after_large_messages.keeps_little_memory")
{
    constexpr std::size_t workingMemory = 2 * 1024 * 1024;
    for (const int lines : { 10'000, 100'000, 400'000 }) {
        const std::string bytes = codec->encode(messageWith(messageText(lines)));
        REQUIRE(codec->decode(bytes).ok());
        REQUIRE(codec->keptMemory() < 2 * peer_message_codec::maximumKept + workingMemory);
    }
}

} // namespace plantainlatch
