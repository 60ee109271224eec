#pragma once

/** \file
 * Leaves the process of a test without free file descriptors.
 */

namespace plantainlatch {

/** While it exists, the process can't open any file descriptor. */
class descriptor_limit {
public:
    descriptor_limit();
    ~descriptor_limit();
    descriptor_limit(const descriptor_limit&) = delete;
    descriptor_limit& operator=(const descriptor_limit&) = delete;

private:
    unsigned long m_former = 0;
};

} // namespace plantainlatch
