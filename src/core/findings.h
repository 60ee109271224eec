#pragma once

/** \file
 * User errors: findings collected with their place and reported together.
 */

#include <cstddef>
#include <string>
#include <vector>

#include "absl/status/status.h"

namespace plantainlatch {

/** A place in a text; line and column count from 1, and 0 means the whole file. */
struct text_position {
    std::string file;
    int line = 0;
    int column = 0;
};

/** One thing that is wrong with what a user wrote, and what was expected instead. */
struct finding {
    text_position place;
    std::string what;
    std::string expected;
};

/** `file:line:column: what, expected ...`; the place is left out where there is none. */
std::string formatFinding(const finding& item);

/** How many findings a list keeps; further ones are only counted. */
inline constexpr std::size_t largestFindingCount = 1000;

/** All findings of one input, in the order of their places. */
class finding_list {
public:
    void add(text_position place, std::string what, std::string expected);
    void append(const finding_list& other);

    bool empty() const { return m_items.empty(); }
    const std::vector<finding>& items() const { return m_items; }

    /** One finding a line, and how many were not kept. */
    std::string format() const;

    /** OK if there are none, otherwise InvalidArgument with format() as its message. */
    absl::Status toStatus() const;

private:
    std::vector<finding> m_items;
    std::size_t m_dropped = 0;
};

} // namespace plantainlatch
