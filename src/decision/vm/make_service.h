#pragma once

/** \file
 * Makes the services of a VM one after the other, keeping the first failure.
 */

#include <memory>
#include <utility>

#include "absl/status/statusor.h"
#include "kernel/hooks.h"
#include "model/vm_settings.h"

namespace plantainlatch {

/** Makes one service into its place; a failure is kept in `status` and ends the making of the later ones. */
template <typename Service, typename Options>
void makeService(absl::Status& status, std::unique_ptr<Service>& place, const kernel_hooks& hooks,
    const vm_settings& settings, Options options)
{
    if (!status.ok())
        return;
    absl::StatusOr<std::unique_ptr<Service>> made = Service::create(hooks, settings, std::move(options));
    if (made.ok())
        place = std::move(*made);
    else
        status = made.status();
}

} // namespace plantainlatch
