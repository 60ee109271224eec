#pragma once

/** \file
 * The hooks by which a replica keeps its state on disk.
 */

#include <functional>
#include <optional>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "model/consensus_message.h"

namespace plantainlatch {

/** What a start found on disk. */
struct recovered_state {
    /** None on a blank disk. */
    std::optional<hard_state> state;
    std::optional<log_snapshot> snapshot;
    /** The entries after the snapshot, without a gap. */
    std::vector<log_entry> entries;
};

/** One durable write. */
struct storage_write {
    std::optional<hard_state> state;
    /** Replaces everything from the first one's index on. */
    std::vector<log_entry> entries;
};

/** Durable state. Writes become durable in order; after a failed one, all later ones fail too. */
struct storage_port {
    /** DataLoss names the file and offset of damage that is no torn tail. */
    std::function<absl::StatusOr<recovered_state>()> load;
    /** Calls back once the write and all before it are synced; writes that wait together are synced together. */
    std::function<void(storage_write, std::function<void(absl::Status)>)> write;
    /** Replaces all entries up to the snapshot's index, and the later ones too unless `keepLaterEntries`, so that they
     * are gone after a start even if the process ended in between. Durable in the order of write(). */
    std::function<void(log_snapshot, bool keepLaterEntries, std::function<void(absl::Status)>)> saveSnapshot;
};

} // namespace plantainlatch
