#pragma once

/** \file
 * Serves metrics and the state dump on a separate address, for VMs whose other servers have externally defined
 * interfaces.
 */

#include <functional>
#include <memory>

#include "kernel/service.h"
#include "kernel/state_dump.h"
#include "services/http_server.h"
#include "services/metrics.h"

namespace plantainlatch {

/** Answers `GET /metrics` and `GET /v1/dump`. */
class inspection_front {
public:
    static constexpr const char* server = "inspection_server";

    static std::unique_ptr<inspection_front> create(std::function<state_dump()> dump);

    /** The kernel service; it depends on "inspection_server" and "metrics". */
    service asService();

private:
    explicit inspection_front(std::function<state_dump()> dump);

    std::function<state_dump()> m_dump;
};

} // namespace plantainlatch
