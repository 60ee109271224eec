#include "decision/request/retry_window.h"

#include <algorithm>

namespace plantainlatch {

namespace {

    /** The window is divided into this many slices. Counts expire one slice at a time, so a request or retry may be
     * counted for up to the length of a slice too long. */
    constexpr int slicesPerWindow = 20;

} // namespace

retry_window::retry_window(retry_window_options options)
    : m_options(options)
{
}

retry_window::slice_counts& retry_window::current(const service_id& service, time_point now)
{
    std::deque<slice_counts>& slices = m_slices[service];
    const duration slice = m_options.window / slicesPerWindow;
    while (!slices.empty() && slices.front().begin + slice + m_options.window <= now)
        slices.pop_front();
    if (slices.empty() || slices.back().begin + slice <= now)
        slices.push_back({ now, 0, 0 });
    return slices.back();
}

void retry_window::recordRequest(const service_id& service, time_point now) { ++current(service, now).requests; }

bool retry_window::tryAcquire(const service_id& service, time_point now, std::size_t vmCount)
{
    slice_counts& latest = current(service, now);
    if (remaining(service, now, vmCount) < 1)
        return false;
    ++latest.retries;
    return true;
}

double retry_window::remaining(const service_id& service, time_point now, std::size_t vmCount) const
{
    const double slack = m_options.slack / static_cast<double>(std::max<std::size_t>(1, vmCount));
    const auto found = m_slices.find(service);
    if (found == m_slices.end())
        return slack;
    double requests = 0;
    double retries = 0;
    for (const slice_counts& slice : found->second) {
        if (slice.begin + m_options.window / slicesPerWindow + m_options.window <= now)
            continue;
        requests += static_cast<double>(slice.requests);
        retries += static_cast<double>(slice.retries);
    }
    return requests * m_options.share + slack - retries;
}

} // namespace plantainlatch
