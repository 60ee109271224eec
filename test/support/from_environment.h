#pragma once

/** \file
 * Reads numbers from the environment, by which tests are run with other seeds.
 */

#include <cstdint>
#include <cstdlib>

namespace plantainlatch {

/** The number in an environment variable, or `fallback` if it is not set. */
inline std::uint64_t fromEnvironment(const char* name, std::uint64_t fallback)
{
    const char* text = std::getenv(name);
    return text != nullptr ? std::strtoull(text, nullptr, 10) : fallback;
}

} // namespace plantainlatch
