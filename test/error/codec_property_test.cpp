#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "codec/declaration_yaml.h"
#include "codec/frame_codec.h"
#include "codec/peer_message_codec.h"
#include "codec/record_codec.h"
#include "codec/settings_yaml.h"

namespace plantainlatch {

namespace {

    class codec_property_fixture {
    protected:
        static constexpr std::size_t maximumPayload = 4096;
    };

} // namespace

TEST_CASE_METHOD(codec_property_fixture, "frame_codec.frames_split_at_any_offset.decode_to_the_same_frames")
{
    REQUIRE(rc::check("frames", [](const std::vector<std::string>& payloads) {
        std::string stream;
        for (const std::string& payload : payloads)
            stream += encodeFrame(payload);
        frame_decoder decoder(maximumPayload);
        std::vector<std::string> decoded;
        std::size_t offset = 0;
        while (offset < stream.size()) {
            const std::size_t step = *rc::gen::inRange<std::size_t>(1, 20);
            decoder.feed(std::string_view(stream).substr(offset, step));
            offset += step;
            for (auto frame = decoder.next(); frame.ok() && frame->has_value(); frame = decoder.next())
                decoded.push_back(**frame);
        }
        RC_ASSERT(decoded == payloads);
    }));
}

TEST_CASE_METHOD(
    codec_property_fixture, "record_codec.file_truncated_at_any_offset.yields_the_complete_records_before_it")
{
    REQUIRE(rc::check("records", [](const std::vector<std::string>& payloads) {
        std::string file;
        std::vector<std::size_t> ends;
        for (const std::string& payload : payloads) {
            file += encodeRecord(payload);
            ends.push_back(file.size());
        }
        const std::size_t cut = *rc::gen::inRange<std::size_t>(0, file.size() + 1);
        const auto scan = scanRecords(std::string_view(file).substr(0, cut));
        RC_ASSERT(scan.ok());
        std::size_t complete = 0;
        while (complete < ends.size() && ends[complete] <= cut)
            ++complete;
        RC_ASSERT(scan->payloads
            == std::vector<std::string>(payloads.begin(), payloads.begin() + static_cast<std::ptrdiff_t>(complete)));
        RC_ASSERT(scan->validBytes == (complete == 0 ? 0 : ends[complete - 1]));
    }));
}

TEST_CASE_METHOD(codec_property_fixture, "codecs.arbitrary_bytes.are_decoded_or_rejected")
{
    const auto codec = *peer_message_codec::create();
    REQUIRE(rc::check("bytes", [&codec](const std::string& bytes) {
        for (const char form : { '\0', '\1', '\2' }) {
            const auto message = codec->decode(form + bytes);
            if (message.ok())
                RC_ASSERT(codec->decode(codec->encode(*message)).ok());
        }
        scanRecords(bytes).status().IgnoreError();
        finding_list findings;
        const bool settingsRead = parseSettings(bytes, "settings.yaml", findings).ok();
        RC_ASSERT(settingsRead == findings.empty());
        finding_list declarationFindings;
        const bool declarationRead = parseDeclaration(bytes, "1.yaml", declarationFindings).ok();
        RC_ASSERT(declarationRead == declarationFindings.empty());
    }));
}

} // namespace plantainlatch
