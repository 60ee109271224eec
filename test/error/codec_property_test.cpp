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
        static constexpr std::size_t largestPayload = 4096;
    };

} // namespace

TEST_CASE_METHOD(codec_property_fixture, "frame_codec.any_frames_cut_anywhere.decode_to_the_same_frames")
{
    REQUIRE(rc::check("frames", [](const std::vector<std::string>& payloads) {
        std::string stream;
        for (const std::string& payload : payloads)
            stream += encodeFrame(payload);
        frame_decoder decoder(largestPayload);
        std::vector<std::string> decoded;
        std::size_t place = 0;
        while (place < stream.size()) {
            const std::size_t step = *rc::gen::inRange<std::size_t>(1, 20);
            decoder.feed(std::string_view(stream).substr(place, step));
            place += step;
            for (auto frame = decoder.next(); frame.ok() && frame->has_value(); frame = decoder.next())
                decoded.push_back(**frame);
        }
        RC_ASSERT(decoded == payloads);
    }));
}

TEST_CASE_METHOD(
    codec_property_fixture, "record_codec.any_records_cut_anywhere.scan_to_the_whole_records_before_the_cut")
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
        std::size_t whole = 0;
        while (whole < ends.size() && ends[whole] <= cut)
            ++whole;
        RC_ASSERT(scan->payloads
            == std::vector<std::string>(payloads.begin(), payloads.begin() + static_cast<std::ptrdiff_t>(whole)));
        RC_ASSERT(scan->wholeBytes == (whole == 0 ? 0 : ends[whole - 1]));
    }));
}

TEST_CASE_METHOD(codec_property_fixture, "codecs.any_bytes.are_refused_or_read_but_never_more")
{
    REQUIRE(rc::check("bytes", [](const std::string& bytes) {
        const auto message = decodePeerMessage(bytes);
        if (message.ok())
            RC_ASSERT(decodePeerMessage(encodePeerMessage(*message)).ok());
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
