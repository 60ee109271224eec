#include "services/line_limiter.h"

#include <utility>

namespace plantainlatch {

line_limiter::line_limiter(std::uint64_t maximum, duration interval)
    : m_maximum(maximum)
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
    if (seen.passed >= m_maximum) {
        ++seen.suppressed;
        return {};
    }
    ++seen.passed;
    return { true, std::exchange(seen.suppressed, 0) };
}

} // namespace plantainlatch
