#pragma once

/** \file
 * The crashes that this VM observed and that its copy of the replicated table may not show yet.
 */

#include <cstddef>
#include <map>
#include <optional>
#include <set>

#include "core/clock.h"
#include "model/control_snapshot.h"

namespace plantainlatch {

/** Crashes by equal requests. Those that the log has accepted are kept until the table shows them, the others as long
 * as the table would keep them. */
class local_crashes {
public:
    /** The maximum number of fingerprints; the one whose last crash is oldest is dropped first. */
    static constexpr std::size_t maximumFingerprints = 256;
    /** How long accepted crashes are kept if the table never shows them, because an equal request completed. */
    static constexpr duration acceptedRetention = std::chrono::seconds(5);

    /** Adds a crash that the log has not accepted yet. */
    void add(const crash_key& key, const crashed_upstream& upstream, time_point now);
    /** The log has accepted a report of this crash; `refusesEqual` if it counts enough crashes to refuse equal
     * requests.
     */
    void accept(const crash_key& key, const crashed_upstream& upstream, bool refusesEqual, time_point now);
    void erase(const crash_key& key) { m_records.erase(key); }
    /** Forgets what the replicated table shows. */
    void eraseShownIn(const std::map<crash_key, crash_record>& table);

    /** The crashes of equal requests; null if there are none. */
    const std::set<crashed_upstream>* find(const crash_key& key, time_point now) const;
    /** Whether the log counts enough crashes to refuse equal requests. */
    bool refuses(const crash_key& key, time_point now) const;
    /** One of the crashes that the log has not accepted. */
    std::optional<crashed_upstream> firstUnaccepted(const crash_key& key) const;

private:
    struct record {
        std::set<crashed_upstream> upstreams;
        std::set<crashed_upstream> unaccepted;
        time_point expiresAt;
        bool refusesEqual = false;
    };

    const record* findRecord(const crash_key& key, time_point now) const;
    void makeRoom();

    std::map<crash_key, record> m_records;
};

} // namespace plantainlatch
