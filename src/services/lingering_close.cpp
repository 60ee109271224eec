#include "services/lingering_close.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>

namespace plantainlatch {

namespace {

    constexpr duration maximumLinger = std::chrono::milliseconds(500);

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
    m_channels[channel] = { m_hooks.schedule(maximumLinger, [this, channel] { free(channel); }), number };
    m_order[number] = channel;
    dropInput(channel, this);
    if (m_channels.size() > m_maximum)
        free(m_order.begin()->second);
}

void lingering_close::dropInput(bufferevent* channel, void*)
{
    evbuffer* input = bufferevent_get_input(channel);
    evbuffer_drain(input, evbuffer_get_length(input));
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
