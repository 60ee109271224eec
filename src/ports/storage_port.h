#pragma once

/** \file
 * The interface for the durable state of a replica.
 */

#include <functional>
#include <optional>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "model/consensus_message.h"

namespace plantainlatch {

/** The durable state of a replica. */
struct recovered_state {
    /** None on a blank disk. */
    std::optional<hard_state> state;
    std::optional<log_snapshot> snapshot;
    /** Consecutive entries that follow the snapshot. */
    std::vector<log_entry> entries;
};

/** One durable write. */
struct storage_write {
    std::optional<hard_state> state;
    /** These entries replace all stored entries from the index of the first one on. */
    std::vector<log_entry> entries;
};

/** Durable storage. Writes become durable in order; after a failed write, all later ones fail too until a rewrite. */
struct storage_port {
    /** Reads the stored state. An incomplete last record, as a crash leaves it, is dropped; DataLoss names the file and
     * offset of any other damage. */
    std::function<absl::StatusOr<recovered_state>()> load;
    /** Calls back once this write and all earlier ones are synced to disk. Writes that are queued at the same time
     * share one sync. */
    std::function<void(storage_write, std::function<void(absl::Status)>)> write;
    /** Replaces all entries up to the snapshot's index, and the later ones too unless `keepLaterEntries` is set. The
     * replaced entries do not reappear after a restart, even if the process ends during the call. Calls of
     * saveSnapshot() and write() become durable in the order in which they are made. */
    std::function<void(log_snapshot, bool keepLaterEntries, std::function<void(absl::Status)>)> saveSnapshot;
    /** Replaces everything that is stored, and ends the failure of a write. Until the new content is synced and was
     * read back, the former one stays in place. May be called again after it failed. */
    std::function<void(recovered_state, std::function<void(absl::Status)>)> rewrite;
};

} // namespace plantainlatch
