#include "codec/record_codec.h"

#include <cstdint>

#include <xxhash.h>

#include "absl/strings/str_cat.h"

namespace plantainlatch {

namespace {

    constexpr std::size_t lengthBytes = 4;
    constexpr std::size_t lengthChecksumBytes = 4;
    constexpr std::size_t payloadChecksumBytes = 8;
    constexpr std::size_t payloadChecksumOffset = lengthBytes + lengthChecksumBytes;
    constexpr std::size_t headerBytes = payloadChecksumOffset + payloadChecksumBytes;
    constexpr std::uint64_t lengthChecksumMask = 0xffffffffU;
    constexpr unsigned bitsPerByte = 8;

    void appendNumber(std::string& out, std::uint64_t value, std::size_t bytes)
    {
        for (std::size_t i = 0; i < bytes; ++i)
            out += static_cast<char>((value >> (bitsPerByte * i)) & 0xffU);
    }

    std::uint64_t readNumber(std::string_view bytes)
    {
        std::uint64_t value = 0;
        for (std::size_t i = bytes.size(); i > 0; --i)
            value = (value << bitsPerByte) | static_cast<unsigned char>(bytes[i - 1]);
        return value;
    }

    std::uint64_t lengthChecksum(std::uint64_t length)
    {
        return XXH3_64bits(&length, sizeof(length)) & lengthChecksumMask;
    }

    std::uint64_t payloadChecksum(std::string_view payload)
    {
        return XXH3_64bits_withSeed(payload.data(), payload.size(), payload.size());
    }

    bool isAllZero(std::string_view bytes) { return bytes.find_first_not_of('\0') == std::string_view::npos; }

} // namespace

std::string encodeRecord(std::string_view payload)
{
    std::string record;
    record.reserve(headerBytes + payload.size());
    appendNumber(record, payload.size(), lengthBytes);
    appendNumber(record, lengthChecksum(payload.size()), lengthChecksumBytes);
    appendNumber(record, payloadChecksum(payload), payloadChecksumBytes);
    record.append(payload);
    return record;
}

absl::StatusOr<record_scan> scanRecords(std::string_view bytes)
{
    record_scan scan;
    while (bytes.size() - scan.validBytes >= headerBytes) {
        const std::string_view rest = bytes.substr(scan.validBytes);
        const std::uint64_t length = readNumber(rest.substr(0, lengthBytes));
        if (lengthChecksum(length) != readNumber(rest.substr(lengthBytes, lengthChecksumBytes))) {
            if (isAllZero(rest))
                return scan;
            return absl::DataLossError(absl::StrCat("a corrupted record header at offset ", scan.validBytes));
        }
        if (rest.size() - headerBytes < length)
            return scan;
        const std::string_view payload = rest.substr(headerBytes, length);
        if (payloadChecksum(payload) != readNumber(rest.substr(payloadChecksumOffset, payloadChecksumBytes))) {
            const bool isLast = rest.size() - headerBytes == length;
            if (isLast)
                return scan;
            return absl::DataLossError(absl::StrCat("a record with a wrong checksum at offset ", scan.validBytes));
        }
        scan.payloads.emplace_back(payload);
        scan.validBytes += headerBytes + length;
    }
    return scan;
}

} // namespace plantainlatch
