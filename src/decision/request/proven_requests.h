#pragma once

/** \file
 * Fingerprints of requests that completed lately, in bounded memory.
 */

#include <cstddef>

#include "absl/container/flat_hash_map.h"
#include "core/clock.h"
#include "model/control_snapshot.h"

namespace plantainlatch {

/** Two generations of fingerprints: when the younger is full it replaces the older. */
class proven_requests {
public:
    /** Fingerprints of one generation. */
    static constexpr std::size_t generationSize = 16'384;
    /** How long a completion proves anything. */
    static constexpr duration memory = std::chrono::minutes(10);
    /** Losses without a completion between them after which the proof is void. */
    static constexpr int lossesToVoid = 2;

    bool contains(const crash_key& key, time_point now) const;
    void add(const crash_key& key, time_point now);
    /** A proven request lost its connection; true when it is not, or no longer, proven. */
    bool countLoss(const crash_key& key, time_point now);

private:
    struct proof {
        time_point completedAt;
        int losses = 0;
    };
    struct key_hash {
        std::size_t operator()(const crash_key& key) const { return key.fingerprint.value(); }
    };
    using generation = absl::flat_hash_map<crash_key, proof, key_hash>;

    const proof* find(const crash_key& key) const;

    generation m_younger;
    generation m_older;
};

} // namespace plantainlatch
