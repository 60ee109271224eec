#pragma once

/** \file
 * An upstream's answer while it is received, and the memory that it takes.
 */

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

#include "core/units.h"
#include "services/buffer_budget.h"
#include "services/http_answer_validator.h"

struct evbuffer;

namespace plantainlatch {

/** Checks and counts all bytes that arrive for one exchange, and keeps the body that the HTTP library has read. */
class received_answer {
public:
    /** `giveUp` is called when others need the memory of the answer; it must call release(). */
    received_answer(buffer_budget& budget, byte_count maximumBody, std::function<void()> giveUp);

    /** Begins the answer to a request; `head` is set for a HEAD request. */
    void begin(bool head, std::size_t maximumHeadBytes);
    /** Frees the answer and its memory. */
    void release();

    http_answer_validator& validator() { return *m_validator; }
    /** The bytes that have arrived and are counted. */
    std::size_t received() const { return m_received; }
    void addReceived(std::size_t bytes) { m_received += bytes; }

    /** Counts the memory of what has arrived, or of the whole answer if its length is stated; false if there is none.
     */
    bool hold();
    /** `bytes` more have arrived and were counted. */
    void recordProgress(std::size_t bytes) { m_lease.recordProgress(bytes); }

    /** Moves bytes of the body that the library has read. */
    void takeBody(evbuffer* from);
    std::string& body() { return m_body; }

private:
    std::size_t statedBody() const;

    byte_count m_maximumBody;
    buffer_lease m_lease;
    std::optional<http_answer_validator> m_validator;
    std::size_t m_received = 0;
    std::string m_body;
};

} // namespace plantainlatch
