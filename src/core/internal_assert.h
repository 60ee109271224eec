#pragma once

/** \file
 * Internal errors: a violated invariant of the program ends the process with a message that gives the source location
 * and the reason.
 */

#include <functional>
#include <sstream>
#include <string>

namespace plantainlatch {

/** Receives the message for a violated invariant; it may throw (tests do) and must not return. */
using internal_error_handler = std::function<void(const std::string& text)>;

/** Replaces the handler for violated invariants and returns the previous one. The default writes to stderr and aborts.
 */
internal_error_handler setInternalErrorHandler(internal_error_handler handler);

/** Collects the message for one violated invariant and reports it at the end of the statement. */
class internal_error_report {
public:
    internal_error_report(const char* file, int line, const char* condition);
    ~internal_error_report() noexcept(false);
    internal_error_report(const internal_error_report&) = delete;
    internal_error_report& operator=(const internal_error_report&) = delete;

    template <typename Value> internal_error_report& operator<<(const Value& value)
    {
        m_text << value;
        return *this;
    }

private:
    std::ostringstream m_text;
};

/** Makes the macro below an expression of type void. */
struct internal_error_voidify {
    void operator&(internal_error_report&) { }
    void operator&(internal_error_report&&) { }
};

} // namespace plantainlatch

/** Checks an invariant in every build: `internal_assert(inUse <= capacity) << "endpoint " << id;` */
#define internal_assert(condition)                                                                                     \
    (condition) ? static_cast<void>(0)                                                                                 \
                : ::plantainlatch::internal_error_voidify()                                                            \
            & ::plantainlatch::internal_error_report(__FILE__, __LINE__, #condition)
