#pragma once

/** \file
 * One of the rooms of a buffer_budget, with the holdings in it and the choice of those that are reclaimed.
 */

#include <cstdint>
#include <functional>
#include <list>

#include "absl/container/flat_hash_map.h"
#include "core/clock.h"
#include "core/strong_id.h"

namespace plantainlatch {

/** What the bytes of a holding are. */
enum class buffer_use : std::uint8_t {
    /** The connections of a server, also those without a request. */
    Connections,
    /** A request that is read or handled. */
    Request,
    /** Input behind the current request of a connection. */
    PipelinedInput,
    /** What parsing a body takes, and the copies of a configuration that takes effect. */
    ParsedBody,
    /** An upstream's answer, from its first byte until it is passed on. */
    UpstreamAnswer,
    /** Output that its reader has not accepted yet. */
    Output,
    /** Messages from other VMs that are not complete, and messages to other VMs that are not sent. */
    PeerInput,
    PeerOutput,
};

inline constexpr std::size_t bufferUseCount = 8;

/** The name of a use in metrics and log lines. */
const char* nameOf(buffer_use use);

/** The address of the client for which bytes are held, as a number; 0 if there is none. */
using buffer_owner = strong_number<struct buffer_owner_tag>;

class buffer_room;

/** The bytes that one lease counts. */
struct buffer_holding {
    buffer_use use = buffer_use::Request;
    buffer_owner owner;
    std::function<void()>* reclaim = nullptr;
    buffer_room* room = nullptr;
    std::size_t bytes = 0;
    bool reclaimable = false;
    /** When at least 1 KiB and when at least 16 KiB more had been received or passed on. */
    time_point lastProgress {};
    time_point lastStep {};
    std::size_t bytesSinceProgress = 0;
    std::size_t bytesSinceStep = 0;
};

using holding_list = std::list<buffer_holding>;

/** Adds up the bytes of its holdings, in all and for each owner. */
class buffer_room {
public:
    /** `stallTime` is how long a holding must have made no progress before it is reclaimed. */
    buffer_room(std::size_t limit, duration stallTime)
        : m_limit(limit)
        , m_stallTime(stallTime)
    {
    }

    std::size_t limit() const { return m_limit; }
    std::size_t held() const { return m_held; }
    bool hasRoom(std::size_t bytes) const { return m_held + bytes <= m_limit; }

    void add(buffer_owner owner, std::size_t bytes);
    void remove(buffer_owner owner, std::size_t bytes);

    /** The holdings that may be reclaimed; the first has made no progress for longest. */
    holding_list& reclaimable() { return m_reclaimable; }

    /** Whether `bytes` more would have room if all holdings were reclaimed that may be reclaimed for `requester`. */
    bool canMakeRoom(const buffer_holding& requester, std::size_t bytes, time_point now) const;
    /** The holding to reclaim next for `bytes` more of `requester`: of those without progress, one of the owner that
     * holds most, and of these the one that made no progress for longest. The end of reclaimable() if there is none. */
    holding_list::iterator nextToReclaim(const buffer_holding& requester, std::size_t bytes, time_point now);

private:
    std::size_t heldBy(buffer_owner owner) const;
    /** A holding that makes progress, but slowly, is reclaimed only for an owner that holds less. */
    bool mayReclaim(
        const buffer_holding& item, const buffer_holding& requester, std::size_t bytes, time_point now) const;

    std::size_t m_limit;
    duration m_stallTime;
    std::size_t m_held = 0;
    absl::flat_hash_map<buffer_owner, std::size_t> m_heldByOwner;
    holding_list m_reclaimable;
};

} // namespace plantainlatch
