#pragma once

/** \file
 * Turns violated internal invariants into exceptions, so that tests can check that a fault is detected.
 */

#include <functional>
#include <stdexcept>
#include <string>

#include "core/internal_assert.h"

namespace plantainlatch {

/** Thrown for a violated invariant. */
struct broken_invariant : std::logic_error {
    using std::logic_error::logic_error;
};

/** While an object of this class exists, violated invariants throw broken_invariant. */
class invariant_catcher {
public:
    invariant_catcher()
        : m_previous(setInternalErrorHandler([](const std::string& text) { throw broken_invariant(text); }))
    {
    }
    ~invariant_catcher() { setInternalErrorHandler(m_previous); }
    invariant_catcher(const invariant_catcher&) = delete;
    invariant_catcher& operator=(const invariant_catcher&) = delete;

private:
    internal_error_handler m_previous;
};

/** Whether `scenario` violates an invariant of the program, or returns true to report a violation that it found. */
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
