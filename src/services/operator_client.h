#pragma once

/** \file
 * A blocking client that sends an operator's requests to the first entry that is available.
 */

#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "core/clock.h"
#include "model/address.h"
#include "model/http.h"
#include "runtime/event_loop.h"
#include "services/upstream_client.h"

namespace plantainlatch {

/** A request of an operator. It must be idempotent, as it may be sent to several entries. */
struct operator_request {
    std::string method;
    std::string target;
    std::vector<header_field> headers = {};
    std::string body = {};
};

/** The answer, and the entry that gave it. */
struct operator_answer {
    int status = 0;
    std::string body;
    network_address entry;
};

/** Sends one request at a time and blocks until it is answered; has its own event loop. */
class operator_client {
public:
    /** `timeout` applies to each entry that is tried. */
    static absl::StatusOr<std::unique_ptr<operator_client>> create(
        std::vector<network_address> entries, duration timeout);

    /** Tries the entries in order until one answers with a status other than 502, 503 and 504. Unavailable if none
     * does: the message then lists the failure of each entry, and the request may or may not have been executed. */
    absl::StatusOr<operator_answer> ask(const operator_request& request);

private:
    operator_client(std::unique_ptr<event_loop> loop, std::vector<network_address> entries, duration timeout);

    absl::StatusOr<operator_answer> sendTo(const network_address& entry, const operator_request& request);

    std::unique_ptr<event_loop> m_loop;
    kernel_hooks m_hooks;
    std::unique_ptr<upstream_client> m_client;
    std::vector<network_address> m_entries;
    duration m_timeout;
    std::uint64_t m_lastCall = 0;
};

} // namespace plantainlatch
