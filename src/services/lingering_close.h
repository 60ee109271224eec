#pragma once

/** \file
 * Closes TCP connections in a way that lets the peer still read the last answer.
 */

#include <map>

#include "kernel/hooks.h"

struct bufferevent;

namespace plantainlatch {

/** Closes the sending side at once, and discards input until the peer closes too or a time-out of 500 ms has passed.
 * Closing a socket that has unread input would reset the connection, and the reset can overtake the last answer. */
class lingering_close {
public:
    explicit lingering_close(const kernel_hooks& hooks);
    ~lingering_close();
    lingering_close(const lingering_close&) = delete;
    lingering_close& operator=(const lingering_close&) = delete;

    /** Takes ownership of a channel whose output has been written. */
    void add(bufferevent* channel);

private:
    static void dropInput(bufferevent* channel, void* argument);
    static void ended(bufferevent* channel, short what, void* argument);
    void free(bufferevent* channel);

    const kernel_hooks& m_hooks;
    std::map<bufferevent*, timer_id> m_channels;
};

} // namespace plantainlatch
