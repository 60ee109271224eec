#pragma once

/** \file
 * Turns a broken internal invariant into an exception, so that a test can show that a fault is found.
 */

#include <functional>
#include <stdexcept>
#include <string>

#include "core/internal_assert.h"

namespace plantainlatch {

/** A broken invariant. */
struct broken_invariant : std::logic_error {
    using std::logic_error::logic_error;
};

/** Invariants throw while it lives. */
class invariant_catcher {
public:
    invariant_catcher()
        : m_former(setInternalErrorHandler([](const std::string& text) { throw broken_invariant(text); }))
    {
    }
    ~invariant_catcher() { setInternalErrorHandler(m_former); }
    invariant_catcher(const invariant_catcher&) = delete;
    invariant_catcher& operator=(const invariant_catcher&) = delete;

private:
    internal_error_handler m_former;
};

/** Whether `scenario` breaks an invariant of the program, or returns true for a broken one of its own. */
inline bool breaksInvariant(const std::function<bool()>& scenario)
{
    const invariant_catcher catcher;
    try {
        return scenario();
    } catch (const broken_invariant&) {
        return true;
    }
}

} // namespace plantainlatch
