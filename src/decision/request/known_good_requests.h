#pragma once

/** \file
 * A bounded set of the fingerprints of requests that completed recently, used to tell them from requests that crash
 * upstreams.
 */

#include <cstddef>

#include "absl/container/flat_hash_map.h"
#include "core/clock.h"
#include "model/control_snapshot.h"

namespace plantainlatch {

/** Known-good requests, kept in two generations: when the younger one is full, it replaces the older one. */
class known_good_requests {
public:
    /** The maximum number of fingerprints in one generation. */
    static constexpr std::size_t generationSize = 16'384;
    /** How long a request counts as known good after it completed. */
    static constexpr duration retention = std::chrono::minutes(10);
    /** After this many lost connections without a completion between them, a request is no longer known good. */
    static constexpr int lossesToForget = 2;

    bool contains(const crash_key& key, time_point now) const;
    void add(const crash_key& key, time_point now);
    void remove(const crash_key& key);
    /** Counts a connection that was lost while the request ran. Returns false if the request is still known good after
     * this loss, true otherwise. */
    bool countLoss(const crash_key& key, time_point now);

private:
    struct completion_record {
        time_point completedAt;
        int losses = 0;
    };
    struct key_hash {
        std::size_t operator()(const crash_key& key) const { return key.fingerprint.value(); }
    };
    using generation = absl::flat_hash_map<crash_key, completion_record, key_hash>;

    const completion_record* find(const crash_key& key) const;

    generation m_younger;
    generation m_older;
};

} // namespace plantainlatch
