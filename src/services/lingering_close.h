#pragma once

/** \file
 * Closes connections so that what was sent last can still be read at the other end.
 */

#include <map>

#include "kernel/hooks.h"

struct bufferevent;

namespace plantainlatch {

/** Closes the sending side at once and drops what still arrives until the other end closes too, or a time has passed: a
 * socket that is closed with unread bytes is reset, and the reset can overtake the last answer. */
class lingering_close {
public:
    explicit lingering_close(const kernel_hooks& hooks);
    ~lingering_close();
    lingering_close(const lingering_close&) = delete;
    lingering_close& operator=(const lingering_close&) = delete;

    /** Takes over a channel whose output was written. */
    void add(bufferevent* channel);

private:
    static void dropInput(bufferevent* channel, void* argument);
    static void ended(bufferevent* channel, short what, void* argument);
    void free(bufferevent* channel);

    const kernel_hooks& m_hooks;
    std::map<bufferevent*, timer_id> m_channels;
};

} // namespace plantainlatch
