#pragma once

/** \file
 * Leaves the process of a test with few or no free file descriptors.
 */

#include <cstddef>

namespace plantainlatch {

/** While it exists, the process can open only a few file descriptors. */
class descriptor_limit {
public:
    explicit descriptor_limit(std::size_t free = 0);
    ~descriptor_limit();
    descriptor_limit(const descriptor_limit&) = delete;
    descriptor_limit& operator=(const descriptor_limit&) = delete;

    /** The limit on all descriptors, those in use included. */
    std::size_t count() const { return m_count; }

private:
    std::size_t m_former = 0;
    std::size_t m_count = 0;
};

} // namespace plantainlatch
