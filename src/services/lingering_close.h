#pragma once

/** \file
 * Closes TCP connections in a way that lets the peer still read the last answer.
 */

#include <cstdint>
#include <map>

#include "kernel/hooks.h"

struct bufferevent;

namespace plantainlatch {

/** Closes the sending side at once, and discards input until the peer closes too, has sent nothing for 500 ms, or 10 s
 * have passed. Closing a socket that has unread input would reset the connection, and the reset can overtake the last
 * answer, or discard it before a peer reads it that sends its whole request first. */
class lingering_close {
public:
    /** When more than `maximum` connections wait for their end, the first of them is closed at once. */
    lingering_close(const kernel_hooks& hooks, std::size_t maximum);
    ~lingering_close();
    lingering_close(const lingering_close&) = delete;
    lingering_close& operator=(const lingering_close&) = delete;

    /** Takes ownership of a channel whose output has been written. */
    void add(bufferevent* channel);

private:
    static void dropInput(bufferevent* channel, void* argument);
    static void ended(bufferevent* channel, short what, void* argument);
    /** Ends a channel whose time has passed, or looks at it again later. */
    void check(bufferevent* channel);
    void free(bufferevent* channel);

    struct waiting_channel {
        timer_id timer;
        std::uint64_t number = 0;
        time_point addedAt {};
        time_point lastInput {};
    };

    const kernel_hooks& m_hooks;
    std::size_t m_maximum;
    std::map<bufferevent*, waiting_channel> m_channels;
    /** In the order in which they were added. */
    std::map<std::uint64_t, bufferevent*> m_order;
    std::uint64_t m_lastNumber = 0;
};

} // namespace plantainlatch
