#pragma once

/** \file
 * The in-memory part of the replicated log: the entries that have not been compacted into a snapshot.
 */

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "model/consensus_message.h"

namespace plantainlatch {

/** Consecutive entries from base() + 1 to lastIndex(). */
class log_store {
public:
    /** The last index that was compacted into a snapshot. */
    log_index base() const { return m_base; }
    log_index lastIndex() const { return log_index(m_base.value() + m_entries.size()); }
    log_term lastTerm() const;
    bool empty() const { return lastIndex() == log_index(0); }

    /** The term of an entry; none for an index before the base or after the last entry. */
    std::optional<log_term> termAt(log_index index) const;
    /** The entry at an index after the base. */
    const log_entry& at(log_index index) const;
    /** The approximate encoded size of the entries after `first`, up to and including `last`, in bytes. Neither index
     * may be before the base. */
    std::uint64_t bytesBetween(log_index first, log_index last) const;
    /** The approximate encoded size of one entry, and of all entries, in bytes. */
    std::uint64_t bytesOf(log_index index) const { return bytesBetween(log_index(index.value() - 1), index); }
    std::uint64_t bytes() const { return bytesBetween(m_base, lastIndex()); }
    /** The lowest index with the same term as the entry at `index`; the base if that term began there or earlier. */
    log_index firstOfTerm(log_index index) const;

    /** Appends an entry, whose index must be lastIndex() + 1. */
    void append(log_entry entry);
    /** Removes the entry at `index` and all later ones. */
    void truncateFrom(log_index index);
    /** Removes the entries up to `index`, which becomes the base. */
    void compactTo(log_index index);
    /** Removes all entries; a snapshot replaces those up to `index`, which becomes the base. */
    void reset(log_index index, log_term term, voter_set voters);

    /** The voters as of the last entry, which may be uncommitted. */
    const voter_set& voters() const { return m_voters.back().voters; }
    /** The index of the entry that set voters(); the base if that entry was compacted. */
    log_index votersIndex() const { return m_voters.back().index; }
    /** The voters as of the entry at `index`, which must not be before the base. */
    const voter_set& votersAt(log_index index) const;

private:
    struct voters_record {
        log_index index;
        voter_set voters;
    };

    struct stored_entry {
        log_entry entry;
        /** The approximate size in bytes of this entry and of all that were stored before it. */
        std::uint64_t endByte = 0;
    };

    std::uint64_t endByteAt(log_index index) const;

    log_index m_base;
    log_term m_baseTerm;
    /** The value of stored_entry::endByte for the entry at the base. */
    std::uint64_t m_baseByte = 0;
    std::deque<stored_entry> m_entries;
    /** The voters at the base, followed by each later change. */
    std::vector<voters_record> m_voters { voters_record {} };
};

} // namespace plantainlatch
