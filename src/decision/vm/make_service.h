#pragma once

/** \file
 * Makes the services of a VM one after the other, keeping the first failure.
 */

#include <memory>
#include <utility>

#include "absl/status/statusor.h"
#include "kernel/assign_if_ok.h"
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
    status = assignIfOk(Service::create(hooks, settings, std::move(options)), place);
}

} // namespace plantainlatch
