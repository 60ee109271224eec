#include "services/line_limiter.h"

#include <utility>

namespace plantainlatch {

line_limiter::line_limiter(std::uint64_t most, duration interval)
    : m_most(most)
    , m_interval(interval)
{
}

line_limiter::verdict line_limiter::check(const std::string& kind, time_point now)
{
    counts& seen = m_kinds[kind];
    if (now >= seen.begin + m_interval) {
        seen.begin = now;
        seen.passed = 0;
    }
    if (seen.passed >= m_most) {
        ++seen.leftOut;
        return {};
    }
    ++seen.passed;
    return { true, std::exchange(seen.leftOut, 0) };
}

} // namespace plantainlatch
