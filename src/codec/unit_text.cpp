#include "codec/unit_text.h"

#include <cstdint>
#include <limits>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace plantainlatch {

namespace {

    /** A unit and its size in the base unit: nanoseconds, bytes or bits per second. */
    struct unit {
        std::string name;
        std::uint64_t factor;
    };

    constexpr std::uint64_t bitsPerByte = 8;
    constexpr std::uint64_t maximumAmount = std::numeric_limits<std::int64_t>::max();

    const std::vector<unit>& timeUnits()
    {
        static const std::vector<unit> units { { "us", 1'000 }, { "ms", 1'000'000 }, { "s", 1'000'000'000 },
            { "min", 60'000'000'000 }, { "h", 3'600'000'000'000 }, { "d", 86'400'000'000'000 } };
        return units;
    }

    const std::vector<unit>& sizeUnits()
    {
        static const std::vector<unit> units { { "B", 1 }, { "kB", 1'000 }, { "MB", 1'000'000 },
            { "GB", 1'000'000'000 }, { "KiB", 1'024 }, { "MiB", 1'048'576 }, { "GiB", 1'073'741'824 } };
        return units;
    }

    const std::vector<unit>& rateUnits()
    {
        static const std::vector<unit> units { { "bit/s", 1 }, { "kbit/s", 1'000 }, { "Mbit/s", 1'000'000 },
            { "Gbit/s", 1'000'000'000 }, { "B/s", bitsPerByte }, { "kB/s", bitsPerByte * 1'000 },
            { "MB/s", bitsPerByte * 1'000'000 }, { "GB/s", bitsPerByte * 1'000'000'000 } };
        return units;
    }

    std::string describe(const std::vector<unit>& units, const std::string& example)
    {
        const std::string names
            = absl::StrJoin(units, ", ", [](std::string* out, const unit& item) { out->append(item.name); });
        return absl::StrCat("a whole number and one of ", names, ", such as ", example);
    }

    absl::StatusOr<std::uint64_t> parseAmount(
        const std::string& text, const std::vector<unit>& units, const std::string& example)
    {
        const std::size_t end = text.find_first_not_of("0123456789");
        std::uint64_t number = 0;
        const bool hasNumber = end != std::string::npos && end > 0 && absl::SimpleAtoi(text.substr(0, end), &number);
        if (!hasNumber)
            return absl::InvalidArgumentError(describe(units, example));
        const std::string name = text.substr(end);
        for (const unit& item : units) {
            if (item.name != name)
                continue;
            if (number > maximumAmount / item.factor)
                return absl::InvalidArgumentError(absl::StrCat("at most ", maximumAmount / item.factor, name));
            return number * item.factor;
        }
        return absl::InvalidArgumentError(describe(units, example));
    }

} // namespace

absl::StatusOr<duration> parseDuration(const std::string& text)
{
    const absl::StatusOr<std::uint64_t> amount = parseAmount(text, timeUnits(), "250ms");
    if (!amount.ok())
        return amount.status();
    return std::chrono::nanoseconds(static_cast<std::int64_t>(*amount));
}

absl::StatusOr<byte_count> parseSize(const std::string& text)
{
    const absl::StatusOr<std::uint64_t> amount = parseAmount(text, sizeUnits(), "1MiB");
    if (!amount.ok())
        return amount.status();
    return byte_count(*amount);
}

absl::StatusOr<bytes_per_second> parseRate(const std::string& text)
{
    const absl::StatusOr<std::uint64_t> amount = parseAmount(text, rateUnits(), "4Gbit/s");
    if (!amount.ok())
        return amount.status();
    return bytes_per_second(*amount / bitsPerByte);
}

} // namespace plantainlatch
