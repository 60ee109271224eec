#pragma once

/** \file
 * Settings of the memory allocator of the process.
 */

namespace plantainlatch {

/** Lets the allocator return large blocks to the operating system as soon as they are freed. By default, its threshold
 * for separate mappings grows with the blocks that are freed, and it kept up to 215 MB after a load had ended. */
void returnFreedMemory();

/** Returns the pages to the operating system that lie between used memory. Takes about a millisecond for each 50 MB
 * that the process has allocated. */
void releaseUnusedPages();

} // namespace plantainlatch
