#include "runtime/event_loop.h"

#include <algorithm>
#include <csignal>
#include <random>

#include <event2/event.h>
#include <time.h>

#include "kernel/timer_queue.h"

namespace plantainlatch {

namespace {

    constexpr std::int64_t microsecondsPerSecond = 1'000'000;

    /** Includes the time during which the machine was suspended, as leases and deadlines end then too. */
    time_point bootTimeNow()
    {
        timespec moment {};
        clock_gettime(CLOCK_BOOTTIME, &moment);
        return time_point(std::chrono::seconds(moment.tv_sec) + std::chrono::nanoseconds(moment.tv_nsec));
    }

    timeval toTimeval(duration span)
    {
        const auto microseconds
            = std::chrono::ceil<std::chrono::microseconds>(std::max(span, duration::zero())).count();
        timeval value {};
        value.tv_sec = static_cast<time_t>(microseconds / microsecondsPerSecond);
        value.tv_usec = static_cast<suseconds_t>(microseconds % microsecondsPerSecond);
        return value;
    }

    log_level toLogLevel(int severity)
    {
        switch (severity) {
        case EVENT_LOG_ERR:
            return log_level::Error;
        case EVENT_LOG_WARN:
            return log_level::Warning;
        case EVENT_LOG_MSG:
            return log_level::Info;
        default:
            return log_level::Debug;
        }
    }

    /** Creates an event base that collects changes of the watched events and passes them to epoll once per loop
     * iteration, which saves system calls. This requires that no watched file descriptor is a duplicate of another one;
     * the process duplicates none. */
    event_base* newBase()
    {
        event_config* config = event_config_new();
        if (config == nullptr)
            return nullptr;
        event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
        event_base* base = event_base_new_with_config(config);
        event_config_free(config);
        return base;
    }

} // namespace

struct event_loop::implementation {
    event_base* base = nullptr;
    /** Ends when the first timer is due. */
    event* wakeUp = nullptr;
    timer_queue timers;
    std::vector<event*> signals;
    std::function<void()> terminate;
    std::function<void()> reload;
    std::function<void(const log_event&)> log;
    std::mt19937_64 random;

    /** The loop whose log gets the messages of libevent, which has one log callback for the process. */
    static implementation* logging;

    static void wokenUp(evutil_socket_t, short, void* argument)
    {
        static_cast<implementation*>(argument)->fireDueTimers();
    }

    void fireDueTimers()
    {
        const time_point now = bootTimeNow();
        const timer_id last = timers.last();
        // After stop(), the others wait until the loop runs again.
        while (event_base_got_break(base) == 0) {
            const std::function<void()> fire = timers.takeDue(now, last);
            if (!fire)
                break;
            fire();
        }
        scheduleWakeUp();
    }

    /** Libevent's clock is coarse and read once in an iteration, so the wake-up may come before the first timer is due;
     * another one is scheduled then. */
    void scheduleWakeUp()
    {
        const std::optional<time_point> due = timers.nextDue();
        if (!due)
            return;
        const timeval delay = toTimeval(*due - bootTimeNow());
        evtimer_add(wakeUp, &delay);
    }

    static void signalled(evutil_socket_t number, short, void* argument)
    {
        auto* owner = static_cast<implementation*>(argument);
        const std::function<void()>& handler = number == SIGHUP ? owner->reload : owner->terminate;
        if (handler)
            handler();
    }

    static void logMessage(int severity, const char* message)
    {
        if (logging != nullptr)
            logging->log({ toLogLevel(severity), "libevent", message, {} });
    }

    /** By default, libevent writes to the standard error output, and a write to a pipe that nobody reads blocks. */
    void logLibrary(std::function<void(const log_event&)> to)
    {
        log = std::move(to);
        logging = this;
        event_set_log_callback(logMessage);
    }

    absl::Status watch(int number)
    {
        event* item = evsignal_new(base, number, signalled, this);
        if (item == nullptr || evsignal_add(item, nullptr) != 0)
            return absl::InternalError("a signal handler can't be added");
        signals.push_back(item);
        return absl::OkStatus();
    }

    timer_id addTimer(duration delay, std::function<void()> fire)
    {
        const time_point now = bootTimeNow();
        const time_point due = now + std::clamp(delay, duration::zero(), time_point::max() - now);
        const bool isFirst = due < timers.nextDue().value_or(time_point::max());
        const timer_id added = timers.add(due, std::move(fire));
        if (isFirst)
            scheduleWakeUp();
        return added;
    }

    ~implementation()
    {
        if (logging == this)
            logging = nullptr;
        if (wakeUp != nullptr)
            event_free(wakeUp);
        for (event* item : signals)
            event_free(item);
        if (base != nullptr)
            event_base_free(base);
    }
};

event_loop::implementation* event_loop::implementation::logging = nullptr;

event_loop::event_loop(std::unique_ptr<implementation> parts)
    : m_parts(std::move(parts))
{
}

event_loop::~event_loop() = default;

absl::StatusOr<std::unique_ptr<event_loop>> event_loop::create(std::uint64_t seed)
{
    auto parts = std::make_unique<implementation>();
    parts->base = newBase();
    if (parts->base != nullptr)
        parts->wakeUp = evtimer_new(parts->base, implementation::wokenUp, parts.get());
    if (parts->wakeUp == nullptr)
        return absl::ResourceExhaustedError("the event loop can't be created");
    std::random_device device;
    parts->random.seed(seed != 0 ? seed : (static_cast<std::uint64_t>(device()) << 32U) | device());
    std::signal(SIGPIPE, SIG_IGN);
    return std::unique_ptr<event_loop>(new event_loop(std::move(parts)));
}

void event_loop::run() { event_base_loop(m_parts->base, EVLOOP_NO_EXIT_ON_EMPTY); }

void event_loop::stop() { event_base_loopbreak(m_parts->base); }

absl::Status event_loop::onTerminate(std::function<void()> handler)
{
    m_parts->terminate = std::move(handler);
    absl::Status status = m_parts->watch(SIGTERM);
    status.Update(m_parts->watch(SIGINT));
    return status;
}

absl::Status event_loop::onReload(std::function<void()> handler)
{
    m_parts->reload = std::move(handler);
    return m_parts->watch(SIGHUP);
}

kernel_hooks event_loop::hooks(std::function<void(const log_event&)> log)
{
    implementation* parts = m_parts.get();
    kernel_hooks hooks;
    hooks.now = bootTimeNow;
    hooks.wallNow = [] { return std::chrono::time_point_cast<wall_time::duration>(std::chrono::system_clock::now()); };
    hooks.schedule
        = [parts](duration delay, std::function<void()> fire) { return parts->addTimer(delay, std::move(fire)); };
    hooks.cancel = [parts](timer_id timer) { parts->timers.cancel(timer); };
    hooks.random = [parts] { return parts->random(); };
    parts->logLibrary(log);
    hooks.log = std::move(log);
    return hooks;
}

event_base* event_loop::base() const { return m_parts->base; }

} // namespace plantainlatch
