/** \file
 * Fuzzes the request parser, and compares the memory that it takes with what it reports.
 */

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "error/request_memory.h"

/** The first byte is the size of the pieces in which the others are fed to the parser. */
// NOLINTNEXTLINE(readability-identifier-naming): the library calls it by this name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    constexpr std::size_t allowed = 32 * 1024;
    if (size == 0)
        return 0;
    const std::string_view stream(reinterpret_cast<const char*>(data) + 1, size - 1);
    if (!plantainlatch::reportsAllMemory(stream, data[0] + std::size_t { 1 }, allowed))
        std::abort();
    return 0;
}
