#pragma once

/** \file
 * Diagnostics for errors in user input, which are collected with their position and reported together.
 */

#include <cstddef>
#include <string>
#include <vector>

#include "absl/status/status.h"

namespace plantainlatch {

/** A position in a text file; lines and columns count from 1, and 0 stands for the whole file. */
struct text_position {
    std::string file;
    int line = 0;
    int column = 0;
};

/** One error in user input, and what was expected instead. */
struct finding {
    text_position position;
    std::string what;
    std::string expected;
};

/** Formats as `file:line:column: what, expected ...`; unset parts are omitted. */
std::string formatFinding(const finding& item);

/** How many findings a list stores; further ones are only counted. */
inline constexpr std::size_t maximumFindings = 1000;

/** All findings of one input, sorted by position. */
class finding_list {
public:
    void add(text_position position, std::string what, std::string expected);
    void append(const finding_list& other);

    bool empty() const { return m_items.empty(); }
    const std::vector<finding>& items() const { return m_items; }

    /** One finding per line, then the number of findings that were not stored. */
    std::string format() const;

    /** OK if there are none, otherwise InvalidArgument with format() as its message. */
    absl::Status toStatus() const;

private:
    std::vector<finding> m_items;
    std::size_t m_dropped = 0;
};

} // namespace plantainlatch
