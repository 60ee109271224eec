#pragma once

/** \file
 * Passes an answer to a socket directly, and what the socket does not accept to its output buffer.
 */

#include <array>
#include <cstddef>
#include <string_view>

#include "model/shared_body.h"

struct bufferevent;

namespace plantainlatch {

/** The bytes of one answer that are not passed on yet. The head must outlive it. */
class answer_output {
public:
    answer_output(std::array<std::string_view, 2> head, const shared_body& body)
        : m_head(head)
        , m_body(body)
    {
    }

    /** Passes on what the socket accepts at once, unless earlier output waits. This saves an iteration of the event
     * loop. */
    void send(bufferevent* channel);

    std::size_t unsent() const { return m_head[0].size() + m_head[1].size() + m_body.size() - m_sentOfBody; }

    /** Adds the unsent bytes to the output buffer. */
    void buffer(bufferevent* channel) const;

private:
    std::array<std::string_view, 2> m_head;
    const shared_body& m_body;
    std::size_t m_sentOfBody = 0;
};

} // namespace plantainlatch
