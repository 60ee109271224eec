#include "soak/soak_run.h"

#include <algorithm>
#include <csignal>

#include "absl/strings/str_cat.h"

namespace plantainlatch {

namespace {

    constexpr double loadRate = 40;
    constexpr const char* loadMix = "60,30,10";
    constexpr duration pollInterval = std::chrono::milliseconds(100);
    constexpr duration applyTimeout = std::chrono::seconds(1);
    /** How long the load continues after the last fault. */
    constexpr duration recoveryLoad = std::chrono::seconds(2);
    constexpr const char* noFaults = "{}";
    constexpr const char* dropOutgoing = R"({"stop_up":true})";
    constexpr const char* dropBoth = R"({"stop_up":true,"stop_down":true})";

    std::string delayFault(duration span)
    {
        return absl::StrCat(
            R"({"delay_ms":)", std::chrono::duration_cast<std::chrono::milliseconds>(span).count(), "}");
    }

} // namespace

soak_run::soak_run(std::uint64_t seed, soak_size size)
    : m_size(size)
    , m_schedule(generateSchedule(seed, size))
    , m_system({ size.vms, true })
{
}

void soak_run::note(const std::string& what)
{
    const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(steadyNow() - m_startTime).count();
    absl::StrAppend(&m_journal, at, " ms: ", what, "\n");
}

void soak_run::reportViolation(const std::string& what)
{
    note(absl::StrCat("VIOLATION: ", what));
    m_violations.push_back(what);
}

void soak_run::run()
{
    m_system.start();
    m_system.startUpstreams(m_size.upstreams, false);
    load_run load = m_system.startLoad(loadRate, m_size.length + recoveryLoad, loadMix);
    m_startTime = steadyNow();
    std::vector<soak_event> active;
    auto next = m_schedule.begin();
    while (steadyNow() < m_startTime + m_size.length) {
        const duration now = steadyNow() - m_startTime;
        std::erase_if(active, [&](const soak_event& event) {
            const bool hasEnded = now >= event.at + event.length;
            if (hasEnded)
                end(event);
            return hasEnded;
        });
        for (; next != m_schedule.end() && next->at <= now; ++next) {
            begin(*next);
            active.push_back(*next);
        }
        checkNumbers();
        pause(pollInterval);
    }
    for (const soak_event& event : active)
        end(event);
    endAllFaults();
    const nlohmann::json report = m_system.finishLoad(load);
    note(report.dump());
    if (report["foreign_answers"] != 0)
        reportViolation("an answer of another request reached a caller");
    checkRecovery();
}

void soak_run::setPeerFaults(int vm, const std::string& outgoing, const std::string& incoming)
{
    m_system.setFaults(absl::StrCat("peer-", vm, "-*"), outgoing);
    for (int other = 1; other <= m_size.vms; ++other) {
        if (other != vm)
            m_system.setFaults(absl::StrCat("peer-", other, "-", vm), incoming);
    }
}

void soak_run::begin(const soak_event& event)
{
    note(absl::StrCat(nameOf(event.fault), " e", event.vm, " upstream ", event.upstream));
    switch (event.fault) {
    case soak_fault::Kill:
        m_unavailable.insert(event.vm);
        m_system.killVm(event.vm);
        return;
    case soak_fault::Stop:
        m_unavailable.insert(event.vm);
        m_system.signalVm(event.vm, SIGTERM);
        return;
    case soak_fault::Pause:
        m_unavailable.insert(event.vm);
        m_system.signalVm(event.vm, SIGSTOP);
        return;
    case soak_fault::DelayPeers:
        setPeerFaults(event.vm, delayFault(event.delay), delayFault(event.delay));
        return;
    case soak_fault::CutOneWay:
        setPeerFaults(event.vm, dropOutgoing, noFaults);
        return;
    case soak_fault::CutPeers:
        setPeerFaults(event.vm, dropBoth, dropBoth);
        return;
    case soak_fault::SilenceUpstreams:
        m_system.commandProxy("upstream-*", "silence-open");
        return;
    case soak_fault::RefuseUpstream:
        m_system.setFaults(absl::StrCat("upstream-", event.upstream), R"({"refuse":true})");
        return;
    case soak_fault::TruncateUpstream:
        m_system.setFaults(absl::StrCat("upstream-", event.upstream), R"({"truncate_after":40})");
        return;
    case soak_fault::Change:
        change(event);
        return;
    }
}

void soak_run::end(const soak_event& event)
{
    note(absl::StrCat("end of ", nameOf(event.fault), " e", event.vm, " upstream ", event.upstream));
    switch (event.fault) {
    case soak_fault::Kill:
        m_highestInForce.erase(event.vm);
        m_system.startVm(event.vm);
        m_unavailable.erase(event.vm);
        return;
    case soak_fault::Stop:
        if (m_system.waitForExit(event.vm) != 0)
            reportViolation(absl::StrCat("e", event.vm, " did not exit with code 0 after SIGTERM"));
        m_highestInForce.erase(event.vm);
        m_system.startVm(event.vm);
        m_unavailable.erase(event.vm);
        return;
    case soak_fault::Pause:
        m_system.signalVm(event.vm, SIGCONT);
        m_unavailable.erase(event.vm);
        return;
    case soak_fault::DelayPeers:
    case soak_fault::CutOneWay:
    case soak_fault::CutPeers:
        setPeerFaults(event.vm, noFaults, noFaults);
        return;
    case soak_fault::RefuseUpstream:
    case soak_fault::TruncateUpstream:
        m_system.setFaults(absl::StrCat("upstream-", event.upstream), noFaults);
        return;
    case soak_fault::SilenceUpstreams:
    case soak_fault::Change:
        return;
    }
}

void soak_run::change(const soak_event& event)
{
    if (m_unavailable.contains(event.vm))
        return;
    const std::uint64_t number = m_lastNumber + 1;
    const std::string text = test_system::regionDeclaration(
        static_cast<int>(number), static_cast<int>(m_lastNumber), absl::StrCat("change-", number));
    if (m_system.apply(event.vm, text, applyTimeout) != 0) {
        note("change not acknowledged");
        // The change may still have been accepted, so the next change replaces the highest number in force.
        for (int vm = 1; vm <= m_size.vms; ++vm) {
            if (!m_unavailable.contains(vm))
                m_lastNumber = std::max(m_lastNumber, m_system.inForce(vm));
        }
        return;
    }
    m_lastNumber = number;
    m_acknowledgedNumber = number;
    note(absl::StrCat("acknowledged ", number));
}

void soak_run::checkNumbers()
{
    for (int vm = 1; vm <= m_size.vms; ++vm) {
        if (m_unavailable.contains(vm))
            continue;
        const std::uint64_t number = m_system.inForce(vm);
        std::uint64_t& highest = m_highestInForce[vm];
        // inForce() is 0 when the VM does not answer or has no configuration yet.
        if (number != 0 && number < highest)
            reportViolation(
                absl::StrCat("e", vm, ": the configuration number in force decreased from ", highest, " to ", number));
        highest = std::max(highest, number);
    }
}

void soak_run::endAllFaults()
{
    m_system.setFaults("peer-*", noFaults);
    m_system.setFaults("upstream-*", noFaults);
    note("all network faults ended");
}

void soak_run::checkRecovery()
{
    for (int vm = 1; vm <= m_size.vms; ++vm)
        m_system.waitUntilCurrent(vm, m_acknowledgedNumber);
    m_system.waitUntilServed();
    load_run load = m_system.startLoad(loadRate, recoveryLoad, "100,0,0");
    const nlohmann::json report = m_system.finishLoad(load);
    if (report["served"] != report["sent"])
        reportViolation(absl::StrCat("not all requests were served after the faults: ", report.dump()));
    if (const std::size_t repeatedCount = m_system.requestsRunTwice(); repeatedCount != 0)
        reportViolation(absl::StrCat(repeatedCount, " requests ran more than once"));
}

} // namespace plantainlatch
