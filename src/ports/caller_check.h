#pragma once

/** \file
 * The check by which a front end tells whether the sender of an order still waits for its answer.
 */

#include <functional>

namespace plantainlatch {

/** Returns false once the sender has closed its connection. It may have sent the order elsewhere then, and other orders
 * after it, so one that was not proposed yet is dropped. */
using caller_check = std::function<bool()>;

} // namespace plantainlatch
