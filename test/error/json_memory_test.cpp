#include <string>

#include <catch2/catch.hpp>
#include <malloc.h>
#include <nlohmann/json.hpp>

#include "platform/json_memory.h"

namespace plantainlatch::platform {

namespace {

    std::string repeated(const std::string& item, int count)
    {
        std::string text;
        for (int i = 0; i < count; ++i)
            text += item;
        return text;
    }

    /** What the parsed value holds, which is less than what the parser needs for a moment. */
    std::size_t usedBy(const std::string& text)
    {
        const auto used = [] {
            const struct mallinfo2 info = mallinfo2();
            return info.uordblks + info.hblkhd;
        };
        const std::size_t before = used();
        const nlohmann::json parsed = nlohmann::json::parse(text);
        return used() - before;
    }

} // namespace

// Guards against a body that passes the check and takes more memory than was counted.
TEST_CASE("parsed_json_bytes.texts_of_each_kind.are_not_estimated_too_low")
{
    constexpr int count = 70'000;
    const std::string fields = "{" + repeated("\"a long name of a field\":1,", 1) + "\"b\":2}";
    for (const std::string& text : { "[" + repeated("0,", count) + "0]", "[" + repeated("\"\",", count) + "0]",
             "[" + repeated("\"a string that is long enough to be allocated\",", count) + "0]",
             "[" + repeated("[],", count) + "0]", "[" + repeated("[0],", count) + "0]",
             "[" + repeated("{},", count) + "0]", "[" + repeated(fields + ",", count) + "0]" }) {
        CAPTURE(text.substr(0, 60));
        REQUIRE(parsedJsonBytes(text) >= usedBy(text));
    }
}

} // namespace plantainlatch::platform
