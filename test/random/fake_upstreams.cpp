#include "fake_upstreams.h"

#include <algorithm>

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    constexpr duration networkDelay = 2ms;

    bool isWrite(const upstream_call& call) { return call.method != "GET"; }

    bool isCrashing(const upstream_call& call) { return call.target.find("crash") != std::string::npos; }

} // namespace

fake_upstreams::fake_upstreams(paused_runtime& runtime, run_journal& journal)
    : m_runtime(runtime)
    , m_journal(journal)
{
}

void fake_upstreams::add(upstream_announcement announced)
{
    m_upstreams.push_back(std::make_unique<upstream_state>());
    m_upstreams.back()->announced = std::move(announced);
    announce(m_upstreams.back()->announced.id);
}

fake_upstreams::upstream_state* fake_upstreams::find(const upstream_id& id)
{
    const auto found = std::find_if(
        m_upstreams.begin(), m_upstreams.end(), [&id](const auto& item) { return item->announced.id == id; });
    return found == m_upstreams.end() ? nullptr : found->get();
}

fake_upstreams::upstream_state* fake_upstreams::findAddress(const network_address& address)
{
    const auto found = std::find_if(m_upstreams.begin(), m_upstreams.end(),
        [&address](const auto& item) { return item->announced.address == address; });
    return found == m_upstreams.end() ? nullptr : found->get();
}

void fake_upstreams::announce(const upstream_id& id)
{
    upstream_state* upstream = find(id);
    directory_port* directory = pickDirectory ? pickDirectory() : nullptr;
    if (upstream->up && !upstream->isDeregistered && directory != nullptr)
        directory->announce(upstream->announced, [](const absl::Status&) {});
    const duration wait = directory != nullptr ? directory->renewalInterval() : duration(500ms);
    m_runtime.schedule(wait, [this, id] { announce(id); });
}

upstream_port fake_upstreams::attach(const vm_id& vm, const process_lifetime& life)
{
    const std::weak_ptr<bool> alive = life;
    upstream_port port;
    port.start = [this, vm, alive](
                     upstream_call call, call_events events) { start(vm, alive, std::move(call), std::move(events)); };
    port.cancel = [this, vm](call_id id) { cancel(vm, id); };
    port.poll = [this, vm, alive](const network_address& address, duration timeout,
                    std::function<void(absl::StatusOr<load_report>)> done) {
        const upstream_state* upstream = findAddress(address);
        const bool isLost = upstream == nullptr || !upstream->up || !reaches(vm, upstream->announced.region)
            || happens(faults.missingReportPerMille);
        load_report report;
        report.running = isLost || happens(faults.wrongReportPerMille) ? 0 : upstream->running;
        m_runtime.schedule(isLost ? timeout : 2 * networkDelay, [alive, isLost, report, done = std::move(done)] {
            if (alive.expired())
                return;
            if (isLost)
                done(absl::DeadlineExceededError("no load report"));
            else
                done(report);
        });
    };
    port.closeIdleConnections = [](const network_address&) {};
    return port;
}

void fake_upstreams::start(const vm_id& vm, const std::weak_ptr<bool>& life, upstream_call call, call_events events)
{
    const auto open = std::make_shared<open_call>();
    open->call = std::move(call);
    open->events = std::move(events);
    open->vm = vm;
    open->life = life;
    open->upstream = findAddress(open->call.address);
    m_calls[{ vm, open->call.id }] = open;
    m_runtime.schedule(open->call.timeout, [this, open] {
        if (!open->ended)
            fail(open, call_failure::Timeout);
    });
    const bool isPooled = !open->call.freshConnection && m_idleConnections.erase({ vm, open->call.upstream }) > 0;
    if (!isPooled)
        m_silentConnections.erase({ vm, open->call.upstream });
    const duration connectTime = isPooled ? duration(0) : 2 * networkDelay;
    const bool isTooLate = open->call.dispatchTimeout > duration(0) && connectTime > open->call.dispatchTimeout;
    m_runtime.schedule(connectTime, [this, open, isPooled, isTooLate] {
        if (open->ended || open->life.expired())
            return;
        const bool isRefused = isTooLate || open->upstream == nullptr || !open->upstream->up;
        if (isTooLate || (!isPooled && (isRefused || !isReachable(*open))))
            fail(open, call_failure::ConnectFailed);
        else
            dispatch(open);
    });
}

void fake_upstreams::dispatch(const call_pointer& call)
{
    call->events.onDispatch();
    if (call->ended || m_silentConnections.contains({ call->vm, call->call.upstream }) || !isReachable(*call))
        return;
    m_runtime.schedule(networkDelay, [this, call] { arrive(call); });
}

bool fake_upstreams::sheds(const call_pointer& call)
{
    if (!happens(faults.shedPerMille))
        return false;
    upstream_answer refusal { 503, { { "X-Plantainlatch-Not-Run", "1" } }, "busy" };
    answer(call, std::move(refusal));
    return true;
}

void fake_upstreams::arrive(const call_pointer& call)
{
    upstream_state& upstream = *call->upstream;
    if (!upstream.up) {
        fail(call, call_failure::Lost);
        return;
    }
    if (sheds(call))
        return;
    checkStart(*call);
    ++upstream.running;
    ++m_runs[call->call.target];
    call->running = true;
    call->startedAt = m_runtime.now();
    upstream.runningCalls.insert(call.get());
    call->upstreamIncarnation = upstream.incarnation;
    if (isCrashing(call->call)) {
        ++m_crashes[call->call.target];
        crash(upstream.announced.id, 2s);
        return;
    }
    m_runtime.schedule(std::min(serviceTime(upstream), call->call.timeout), [this, call] { complete(call); });
}

void fake_upstreams::checkStart(const open_call& call)
{
    const upstream_state& upstream = *call.upstream;
    const std::string details = upstream.announced.id.value() + " from " + call.vm.value() + " for " + call.call.target;
    m_journal.note("run on " + details);
    if (upstream.running >= upstream.announced.slots.value()) {
        noteRunning(upstream);
        m_journal.reportViolation("more running requests than slots on " + details);
    }
    if (upstream.quiescedFrom && m_runtime.now() > *upstream.quiescedFrom)
        m_journal.reportViolation("new request after deregistration or drain on " + details);
    if (isWrite(call.call) && m_runs[call.call.target] > 0)
        m_journal.reportViolation("second run of a write on " + details);
    if (m_notRun.contains(call.call.target))
        m_journal.reportViolation("run after the answer not-run on " + details);
}

void fake_upstreams::noteRunning(const upstream_state& upstream)
{
    for (const open_call* call : upstream.runningCalls) {
        const auto runningFor = (m_runtime.now() - call->startedAt) / 1ms;
        m_journal.noteFault(upstream.announced.id.value() + " runs " + call->call.target + " from " + call->vm.value()
            + " for " + std::to_string(runningFor) + " ms");
    }
}

duration fake_upstreams::serviceTime(const upstream_state& upstream)
{
    duration time = 20ms + duration(m_runtime.random() % duration(60ms).count());
    if (m_runtime.now() < upstream.slowUntil)
        time *= 5;
    return happens(faults.slowPerMille) ? time + 1500ms : time;
}

void fake_upstreams::complete(const call_pointer& call)
{
    if (!call->running || call->upstreamIncarnation != call->upstream->incarnation)
        return;
    stopRunning(call);
    answer(call, { 200, {}, "answer to " + call->call.target });
}

void fake_upstreams::stopRunning(const call_pointer& call)
{
    if (!call->running)
        return;
    call->running = false;
    call->upstream->runningCalls.erase(call.get());
    if (call->upstreamIncarnation == call->upstream->incarnation)
        --call->upstream->running;
}

void fake_upstreams::answer(const call_pointer& call, upstream_answer content)
{
    if (!isReachable(*call))
        return;
    m_runtime.schedule(networkDelay, [this, call, content = std::move(content)] {
        if (call->ended || call->life.expired() || !isReachable(*call))
            return;
        call->ended = true;
        m_calls.erase({ call->vm, call->call.id });
        m_idleConnections.insert({ call->vm, call->call.upstream });
        call->events.onAnswer(content);
    });
}

void fake_upstreams::fail(const call_pointer& call, call_failure failure)
{
    if (call->ended || call->life.expired())
        return;
    cancel(call->vm, call->call.id);
    call->events.onFailure(failure);
}

void fake_upstreams::cancel(const vm_id& vm, call_id id)
{
    const auto found = m_calls.find({ vm, id });
    if (found == m_calls.end())
        return;
    const call_pointer call = found->second;
    m_calls.erase(found);
    call->ended = true;
    // The upstream notices the closed connection after the network delay. Across a partition it does not notice, and
    // the request's timeout bounds how long it runs.
    if (call->upstream != nullptr && isReachable(*call))
        m_runtime.schedule(networkDelay, [this, call] { stopRunning(call); });
}

void fake_upstreams::crash(const upstream_id& id, duration downTime)
{
    upstream_state& upstream = *find(id);
    if (!upstream.up)
        return;
    m_journal.noteFault("crash of upstream " + id.value());
    upstream.up = false;
    ++upstream.incarnation;
    upstream.running = 0;
    upstream.runningCalls.clear();
    std::vector<call_pointer> lost;
    for (const auto& [key, call] : m_calls) {
        if (call->upstream == &upstream && call->running && isReachable(*call))
            lost.push_back(call);
    }
    for (const call_pointer& call : lost)
        m_runtime.schedule(networkDelay, [this, call] { fail(call, call_failure::Lost); });
    m_runtime.schedule(downTime, [this, id] { restart(id); });
}

void fake_upstreams::restart(const upstream_id& id)
{
    upstream_state& upstream = *find(id);
    upstream.announced.generation = upstream.announced.generation.next();
    upstream.slowUntil = m_runtime.now() + 2s;
    upstream.quiescedFrom.reset();
    upstream.isDeregistered = false;
    upstream.up = true;
    m_journal.noteFault("upstream " + id.value() + " has restarted");
}

void fake_upstreams::leave(const upstream_id& id, duration absentTime)
{
    upstream_state& upstream = *find(id);
    directory_port* directory = pickDirectory();
    if (!upstream.up || upstream.isDeregistered || directory == nullptr)
        return;
    upstream.isDeregistered = true;
    const upstream_generation generation = upstream.announced.generation;
    directory->leave(
        id, generation, [] { return true; },
        [this, id, generation](const absl::Status& status) {
            upstream_state& left = *find(id);
            if (!status.ok() || left.announced.generation != generation)
                return;
            m_journal.noteFault("deregistration of upstream " + id.value() + " accepted");
            left.quiescedFrom = m_runtime.now() + quiesceLimit;
        });
    m_runtime.schedule(absentTime, [this, id] {
        if (find(id)->isDeregistered && find(id)->up)
            restart(id);
    });
}

void fake_upstreams::noteDrain(const upstream_id& id, bool draining)
{
    upstream_state& upstream = *find(id);
    upstream.quiescedFrom.reset();
    if (draining)
        upstream.quiescedFrom = m_runtime.now() + quiesceLimit;
}

void fake_upstreams::endFaults()
{
    faults = {};
    m_silentConnections.clear();
}

int fake_upstreams::runsOf(const std::string& target) const
{
    const auto found = m_runs.find(target);
    return found == m_runs.end() ? 0 : found->second;
}

int fake_upstreams::crashesBy(const std::string& target) const
{
    const auto found = m_crashes.find(target);
    return found == m_crashes.end() ? 0 : found->second;
}

} // namespace plantainlatch
