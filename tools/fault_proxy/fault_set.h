#pragma once

/** \file
 * The faults of one route of the proxy, as they are commanded.
 */

#include <cstdint>
#include <optional>
#include <string>

#include "absl/status/statusor.h"
#include "core/clock.h"
#include "core/units.h"

namespace plantainlatch {

/** The two ways of a connection. */
enum class flow { Up, Down };

/** Faults that hold for all connections of a route, open and new, until they are replaced. Up is from the side that
 * connects. */
struct fault_set {
    /** Bytes arrive this much later. */
    duration delay {};
    /** No byte passes in this direction; the sender sees no error, and what it sent passes when the fault ends. */
    bool stopUp = false;
    bool stopDown = false;
    /** New connections are reset at once. */
    bool refuse = false;
    /** When one side closes, the other side is not told. */
    bool halfOpen = false;
    /** A connection is reset after this many bytes downwards. */
    std::optional<byte_count> truncateAfter;
    /** The most bytes a second, for each connection and direction; 0 is no limit. */
    bytes_per_second rate;

    bool stops(flow way) const { return way == flow::Up ? stopUp : stopDown; }
};

/** Reads `{"delay_ms":N,"stop_up":B,"stop_down":B,"refuse":B,"half_open":B,"truncate_after":N,"rate":N}`, each of which
 * may be left out; InvalidArgument for anything else. */
absl::StatusOr<fault_set> parseFaults(const std::string& text);

} // namespace plantainlatch
