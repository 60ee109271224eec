#include "upstream_standin/work_queue.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <utility>

#include "core/internal_assert.h"

namespace plantainlatch {

namespace {

    /** Spread of the lognormal distribution: p99 is about 5 times the median. */
    constexpr double lognormalSigma = 0.7;
    /** 2^-53, the factor that scales a random integer of 53 bits to [0, 1). */
    constexpr double randomSpacing = 0x1.0p-53;
    constexpr unsigned droppedRandomBits = 11;

} // namespace

work_queue::work_queue(const kernel_hooks& hooks, const standin_options& options)
    : m_hooks(hooks)
    , m_options(options)
{
}

work_id work_queue::add(duration timeout, bool holdsSlot, work_events events)
{
    if (m_work.size() >= std::size_t(m_options.slots) + m_options.queueLength)
        return {};
    const work_id id(++m_lastWork);
    work& added = m_work[id];
    added.events = std::move(events);
    added.holdsSlot = holdsSlot;
    added.deadline = m_hooks.schedule(timeout, [this, id] { expire(id); });
    m_queued.push_back(id);
    m_hooks.schedule(duration::zero(), [this] { startWaiting(); });
    return id;
}

void work_queue::cancel(work_id id)
{
    if (!m_work.contains(id))
        return;
    remove(id);
    startWaiting();
}

void work_queue::startWaiting()
{
    while (m_running < m_options.slots && !m_queued.empty()) {
        const work_id id = m_queued.front();
        m_queued.pop_front();
        run(id);
    }
}

void work_queue::run(work_id id)
{
    work& started = m_work.at(id);
    started.isRunning = true;
    ++m_running;
    const duration span = nextServiceTime();
    ++m_runCount;
    if (!started.holdsSlot)
        started.end = m_hooks.schedule(span, [this, id] { finish(id); });
    const std::function<void()> onRun = started.events.onRun;
    onRun();
}

void work_queue::finish(work_id id)
{
    const work ended = remove(id);
    startWaiting();
    ended.events.onDone();
}

void work_queue::expire(work_id id)
{
    const work ended = remove(id);
    startWaiting();
    if (ended.isRunning)
        ended.events.onDeadline();
    else
        ended.events.onNotRun();
}

work_queue::work work_queue::remove(work_id id)
{
    const auto found = m_work.find(id);
    internal_assert(found != m_work.end()) << "work " << id.value() << " has ended";
    work ended = std::move(found->second);
    m_work.erase(found);
    m_hooks.cancel(ended.deadline);
    m_hooks.cancel(ended.end);
    if (ended.isRunning)
        --m_running;
    else
        m_queued.remove(id);
    return ended;
}

duration work_queue::nextServiceTime()
{
    double coldSlowdown = 1;
    if (m_runCount < m_options.coldRequests) {
        const double left = 1 - static_cast<double>(m_runCount) / m_options.coldRequests;
        coldSlowdown += (m_options.coldFactor - 1) * left;
    }
    const double mean = static_cast<double>(m_options.serviceTime.count());
    return duration(static_cast<duration::rep>(mean * coldSlowdown * nextFactor()));
}

double work_queue::nextFactor()
{
    switch (m_options.distribution) {
    case time_distribution::Constant:
        return 1;
    case time_distribution::Exponential:
        return -std::log(1 - uniformRandom());
    case time_distribution::Lognormal: {
        const double normal
            = std::sqrt(-2 * std::log(1 - uniformRandom())) * std::cos(2 * std::numbers::pi * uniformRandom());
        return std::exp(lognormalSigma * normal - lognormalSigma * lognormalSigma / 2);
    }
    }
    internal_assert(false) << "distribution " << static_cast<int>(m_options.distribution);
    return 1;
}

double work_queue::uniformRandom()
{
    return static_cast<double>(m_hooks.random() >> droppedRandomBits) * randomSpacing;
}

} // namespace plantainlatch
