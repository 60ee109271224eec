#pragma once

/** \file
 * Checksummed records of an append-only file, and the scan of a file that may be truncated or corrupted.
 */

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

namespace plantainlatch {

/** A record is the length of the payload (4 bytes), a checksum of the length (4 bytes), a checksum of the payload
 * (8 bytes) and the payload. Numbers are little-endian, both checksums are XXH3. */
std::string encodeRecord(std::string_view payload);

/** The records that were read from a file. */
struct record_scan {
    std::vector<std::string> payloads;
    /** The length of the valid prefix in bytes, up to the end of the last complete record. Any bytes after it are a
     * torn tail. */
    std::size_t validBytes = 0;
};

/**
 * Reads all records. A write that was interrupted by a crash leaves a torn tail: an incomplete record, a last record
 * with a wrong checksum, or nothing but zero bytes. The scan ends before such a tail without an error. Any other
 * corruption gives DataLoss with the offset of the damaged record.
 */
absl::StatusOr<record_scan> scanRecords(std::string_view bytes);

} // namespace plantainlatch
