#pragma once

/** \file
 * Creates the services of a VM in sequence and keeps the first error.
 */

#include <memory>
#include <utility>

#include "absl/status/statusor.h"
#include "kernel/assign_if_ok.h"
#include "kernel/hooks.h"
#include "model/vm_settings.h"

namespace plantainlatch {

/** Creates a service and stores it in `target`. Does nothing if `status` is already an error. If the creation fails,
 * its error is stored in `status`. */
template <typename Service, typename Options>
void makeService(absl::Status& status, std::unique_ptr<Service>& target, const kernel_hooks& hooks,
    const vm_settings& settings, Options options)
{
    if (!status.ok())
        return;
    status = assignIfOk(Service::create(hooks, settings, std::move(options)), target);
}

} // namespace plantainlatch
