#pragma once

/** \file
 * Bounds the bodies that one entry has in flight to each upstream: an upstream ends if the requests that it holds
 * exceed its memory.
 */

#include <cstdint>

#include "absl/container/flat_hash_map.h"
#include "core/ids.h"
#include "core/units.h"
#include "kernel/state_dump.h"

namespace plantainlatch {

struct bytes_in_flight_limits {
    /** A body that would raise the sum of an upstream above this goes elsewhere, unless it is the only one there. */
    byte_count maximum { 32 * 1024 * 1024 };
    /** Bodies up to this size are summed up by themselves, so that long bodies don't exclude them. */
    byte_count smallBody { 64 * 1024 };
};

/** The sums of this entry's placed requests. Requests without a body don't count. */
class bytes_in_flight {
public:
    explicit bytes_in_flight(bytes_in_flight_limits limits)
        : m_limits(limits)
    {
    }

    bool hasRoomFor(const upstream_id& upstream, byte_count bodySize) const;
    void add(const upstream_id& upstream, byte_count bodySize);
    void remove(const upstream_id& upstream, byte_count bodySize);
    /** Adds the sum of each upstream with bodies in flight. */
    void dumpTo(state_dump& shown) const;

private:
    struct sums {
        std::uint64_t small = 0;
        std::uint64_t large = 0;
    };

    std::uint64_t& sumOf(sums& item, byte_count bodySize) const;

    bytes_in_flight_limits m_limits;
    /** Only upstreams with bodies in flight. */
    absl::flat_hash_map<upstream_id, sums> m_sums;
};

} // namespace plantainlatch
