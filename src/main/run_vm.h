#pragma once

/** \file
 * Runs a VM as a process; shared by the subcommands `serve` and `platform`, whose VMs have different front ends.
 */

#include <cstdio>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "main/exit_code.h"
#include "runtime/allocator.h"
#include "runtime/event_loop.h"

namespace plantainlatch {

/** Prints the error of a command; returns `code`. */
inline int failCommand(const char* command, const absl::Status& status, int code)
{
    std::fprintf(stderr, "plantainlatch %s: %s\n", command, std::string(status.message()).c_str());
    return code;
}

/** Creates a VM on its own event loop, starts it and runs it until it has stopped; then calls `stopped`, for example to
 * check invariants. Returns an exit code. */
template <typename Vm>
int runVm(const char* command, const std::function<absl::StatusOr<std::unique_ptr<Vm>>(event_loop&)>& make,
    const std::function<void(Vm&)>& stopped)
{
    returnFreedMemory();
    const absl::StatusOr<std::unique_ptr<event_loop>> loop = event_loop::create(0);
    if (!loop.ok())
        return failCommand(command, loop.status(), exit_code::failed);
    const absl::StatusOr<std::unique_ptr<Vm>> vm = make(**loop);
    if (!vm.ok())
        return failCommand(command, vm.status(), exit_code::failed);
    const absl::Status started = (*vm)->start();
    if (!started.ok())
        return failCommand(command, started, exit_code::failed);
    (*loop)->run();
    stopped(**vm);
    return exit_code::ok;
}

} // namespace plantainlatch
