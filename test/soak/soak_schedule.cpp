#include "soak/soak_schedule.h"

#include <algorithm>
#include <random>

#include "core/internal_assert.h"

namespace plantainlatch {

namespace {

    constexpr int faultCount = static_cast<int>(soak_fault::Change) + 1;
    constexpr duration maximumInterval = std::chrono::milliseconds(1500);
    constexpr duration minimumFaultLength = std::chrono::milliseconds(200);
    constexpr duration maximumExtraLength = std::chrono::seconds(4);
    constexpr duration maximumDelay = std::chrono::milliseconds(400);

    class random_source {
    public:
        explicit random_source(std::uint64_t seed)
            : m_source(seed)
        {
        }
        int below(int count) { return static_cast<int>(m_source() % static_cast<std::uint64_t>(count)); }
        duration upTo(duration limit) { return duration(m_source() % static_cast<std::uint64_t>(limit.count())); }

    private:
        std::mt19937_64 m_source;
    };

    bool affectsProcess(soak_fault fault)
    {
        return fault == soak_fault::Kill || fault == soak_fault::Stop || fault == soak_fault::Pause;
    }

} // namespace

std::vector<soak_event> generateSchedule(std::uint64_t seed, const soak_size& size)
{
    random_source random(seed);
    std::vector<soak_event> events;
    duration processFaultsEnd {};
    for (duration at = random.upTo(maximumInterval); at < size.length; at += random.upTo(maximumInterval)) {
        soak_event event;
        event.fault = static_cast<soak_fault>(random.below(faultCount));
        event.at = at;
        event.length = minimumFaultLength + random.upTo(maximumExtraLength);
        event.vm = 1 + random.below(size.vms);
        event.upstream = 1 + random.below(size.upstreams);
        event.delay = random.upTo(maximumDelay);
        if (affectsProcess(event.fault)) {
            if (at < processFaultsEnd)
                continue;
            processFaultsEnd = at + event.length;
        }
        events.push_back(event);
    }
    return events;
}

std::string nameOf(soak_fault fault)
{
    switch (fault) {
    case soak_fault::Kill:
        return "kill";
    case soak_fault::Stop:
        return "stop";
    case soak_fault::Pause:
        return "pause";
    case soak_fault::DelayPeers:
        return "delay peers";
    case soak_fault::CutOneWay:
        return "cut one way";
    case soak_fault::CutPeers:
        return "cut peers";
    case soak_fault::SilenceUpstreams:
        return "silence upstreams";
    case soak_fault::RefuseUpstream:
        return "refuse upstream";
    case soak_fault::TruncateUpstream:
        return "truncate upstream";
    case soak_fault::Change:
        return "change";
    }
    internal_assert(false) << "soak fault " << static_cast<int>(fault);
    return "";
}

} // namespace plantainlatch
