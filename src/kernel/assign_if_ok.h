#pragma once

/** \file
 * Stores the result of a static factory function.
 */

#include <memory>
#include <utility>

#include "absl/status/statusor.h"

namespace plantainlatch {

/** Moves the created object into `target`, or returns the error. */
template <typename Part>
absl::Status assignIfOk(absl::StatusOr<std::unique_ptr<Part>> created, std::unique_ptr<Part>& target)
{
    if (!created.ok())
        return created.status();
    target = *std::move(created);
    return absl::OkStatus();
}

} // namespace plantainlatch
