#include "runtime/allocator.h"

#include <malloc.h>

namespace plantainlatch {

namespace {

    constexpr int threshold = 128 * 1024;

} // namespace

void returnFreedMemory()
{
    // Either call alone would stop the allocator from adjusting both thresholds.
    mallopt(M_MMAP_THRESHOLD, threshold);
    mallopt(M_TRIM_THRESHOLD, threshold);
}

void releaseUnusedPages() { malloc_trim(0); }

} // namespace plantainlatch
