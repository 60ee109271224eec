#pragma once

/** \file
 * Keeps what a static factory made.
 */

#include <memory>
#include <utility>

#include "absl/status/statusor.h"

namespace plantainlatch {

/** Moves what was created into `place`, or returns why it was not. */
template <typename Part>
absl::Status assignIfOk(absl::StatusOr<std::unique_ptr<Part>> created, std::unique_ptr<Part>& place)
{
    if (!created.ok())
        return created.status();
    place = *std::move(created);
    return absl::OkStatus();
}

} // namespace plantainlatch
