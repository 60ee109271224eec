#pragma once

/** \file
 * The faults that are injected into the connections of one route.
 */

#include <cstdint>
#include <optional>
#include <string>

#include "absl/status/statusor.h"
#include "core/clock.h"
#include "core/units.h"

namespace plantainlatch {

/** The direction of bytes on a connection: Up is from the side that connects to the target, Down is the reverse. */
enum class stream_direction { Up, Down };

/** Faults that apply to all open and new connections of a route until they are replaced. */
struct fault_set {
    /** Latency that is added in each direction. */
    duration delay {};
    /** Nothing is forwarded in this direction. The sender sees no error, and its bytes are forwarded when the fault
     * ends. */
    bool stopUp = false;
    bool stopDown = false;
    /** New connections are reset immediately. */
    bool refuse = false;
    /** When one side closes its connection, the connection to the other side stays open. */
    bool halfOpen = false;
    /** A connection is closed after this number of bytes in the direction Down. */
    std::optional<byte_count> truncateAfter;
    /** Maximum throughput of each connection in each direction; 0 means no limit. */
    bytes_per_second rate;

    bool stops(stream_direction direction) const { return direction == stream_direction::Up ? stopUp : stopDown; }
};

/** Parses `{"delay_ms":N,"stop_up":B,"stop_down":B,"refuse":B,"half_open":B,"truncate_after":N,"rate":N}`, where all
 * fields are optional; InvalidArgument for anything else. */
absl::StatusOr<fault_set> parseFaults(const std::string& text);

} // namespace plantainlatch
