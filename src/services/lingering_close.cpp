#include "services/lingering_close.h"

#include <algorithm>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>

namespace plantainlatch {

namespace {

    /** A peer that has sent nothing for this time has read the answer, or is gone. */
    constexpr duration quietTime = std::chrono::milliseconds(500);
    /** Enough for a body of the largest size at 7 MB/s. */
    constexpr duration maximumLinger = std::chrono::seconds(10);

} // namespace

lingering_close::lingering_close(const kernel_hooks& hooks, std::size_t maximum)
    : m_hooks(hooks)
    , m_maximum(maximum)
{
}

lingering_close::~lingering_close()
{
    while (!m_channels.empty())
        free(m_channels.begin()->first);
}

void lingering_close::add(bufferevent* channel)
{
    shutdown(bufferevent_getfd(channel), SHUT_WR);
    bufferevent_setcb(channel, dropInput, nullptr, ended, this);
    bufferevent_set_timeouts(channel, nullptr, nullptr);
    bufferevent_enable(channel, EV_READ);
    const std::uint64_t number = ++m_lastNumber;
    const time_point now = m_hooks.now();
    const timer_id timer = m_hooks.schedule(quietTime, [this, channel] { check(channel); });
    m_channels[channel] = { timer, number, now, now };
    m_order[number] = channel;
    dropInput(channel, this);
    if (m_channels.size() > m_maximum)
        free(m_order.begin()->second);
}

void lingering_close::check(bufferevent* channel)
{
    waiting_channel& item = m_channels.at(channel);
    const time_point end = std::min(item.lastInput + quietTime, item.addedAt + maximumLinger);
    const time_point now = m_hooks.now();
    if (now >= end)
        free(channel);
    else
        item.timer = m_hooks.schedule(end - now, [this, channel] { check(channel); });
}

void lingering_close::dropInput(bufferevent* channel, void* argument)
{
    evbuffer* input = bufferevent_get_input(channel);
    const std::size_t size = evbuffer_get_length(input);
    auto* self = static_cast<lingering_close*>(argument);
    if (size > 0)
        self->m_channels.at(channel).lastInput = self->m_hooks.now();
    evbuffer_drain(input, size);
}

void lingering_close::ended(bufferevent* channel, short, void* argument)
{
    static_cast<lingering_close*>(argument)->free(channel);
}

void lingering_close::free(bufferevent* channel)
{
    const auto found = m_channels.find(channel);
    if (found == m_channels.end())
        return;
    m_hooks.cancel(found->second.timer);
    m_order.erase(found->second.number);
    m_channels.erase(found);
    bufferevent_free(channel);
}

} // namespace plantainlatch
