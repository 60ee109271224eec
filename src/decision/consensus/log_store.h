#pragma once

/** \file
 * The entries of the replicated log in memory, after the snapshot that stands for the earlier ones.
 */

#include <deque>
#include <optional>
#include <vector>

#include "model/consensus_message.h"

namespace plantainlatch {

/** Entries without a gap from base() + 1 to lastIndex(). */
class log_store {
public:
    /** The last index that the snapshot stands for. */
    log_index base() const { return m_base; }
    log_index lastIndex() const { return log_index(m_base.value() + m_entries.size()); }
    log_term lastTerm() const;
    bool empty() const { return lastIndex() == log_index(0); }

    /** None for an index before the base or after the end. */
    std::optional<log_term> termAt(log_index index) const;
    /** The entry at an index after the base. */
    const log_entry& at(log_index index) const;
    /** The first index of the run of entries that share the term of `index`. */
    log_index firstOfTerm(log_index index) const;

    /** Adds the next entry. */
    void append(log_entry entry);
    /** Drops the entry at `index` and all after it. */
    void truncateFrom(log_index index);
    /** Drops the entries up to `index`. */
    void compactTo(log_index index);
    /** Drops everything; a snapshot stands for all entries up to `index`. */
    void reset(log_index index, log_term term, voter_set voters);

    /** The voters as of the last entry, committed or not. */
    const voter_set& voters() const { return m_voters.back().voters; }
    /** Where they were set; the base when the snapshot has them. */
    log_index votersIndex() const { return m_voters.back().index; }
    /** The voters as of the entry at `index`, not before the base. */
    const voter_set& votersAt(log_index index) const;

private:
    struct voters_record {
        log_index index;
        voter_set voters;
    };

    log_index m_base;
    log_term m_baseTerm;
    std::deque<log_entry> m_entries;
    /** The voters at the base, then each change after it. */
    std::vector<voters_record> m_voters { voters_record {} };
};

} // namespace plantainlatch
