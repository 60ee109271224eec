#pragma once

/** \file
 * Records of length, checksum and bytes in a file, and the reading of a file that may be cut or damaged.
 */

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

namespace plantainlatch {

/** A record: 4 bytes of length, 4 bytes of checksum of the length, 8 bytes of checksum of the payload (both XXH3),
 * payload. */
std::string encodeRecord(std::string_view payload);

/** The records of a file. */
struct record_scan {
    std::vector<std::string> payloads;
    /** The offset behind the last whole record; what follows is a torn tail. */
    std::size_t wholeBytes = 0;
};

/**
 * Reads all records. The bytes after the last whole record count as a torn tail when the file's end cuts a record
 * short, when the very last record has a wrong checksum, or when they are all zero; DataLoss names the offset of any
 * other damage.
 */
absl::StatusOr<record_scan> scanRecords(std::string_view bytes);

} // namespace plantainlatch
