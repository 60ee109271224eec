#pragma once

/** \file
 * Asks the system what an operator wants, through any entry that answers.
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

/** One request of an operator; asking it twice must be the same as asking it once. */
struct operator_request {
    std::string method;
    std::string target;
    std::vector<header_field> headers = {};
    std::string body = {};
};

/** The answer, and who gave it. */
struct operator_answer {
    int status = 0;
    std::string body;
    network_address entry;
};

/** Sends requests and waits for their answers, on a loop of its own. */
class operator_client {
public:
    /** `timeout` is for each entry that is tried. */
    static absl::StatusOr<std::unique_ptr<operator_client>> create(
        std::vector<network_address> entries, duration timeout);

    /** The first answer that is not 502, 503 or 504, from the entries in turn. Unavailable when there was none: then
     * the message tells each entry's failure, and the request may or may not have been carried out. */
    absl::StatusOr<operator_answer> ask(const operator_request& request);

private:
    operator_client(std::unique_ptr<event_loop> loop, std::vector<network_address> entries, duration timeout);

    absl::StatusOr<operator_answer> askOne(const network_address& entry, const operator_request& request);

    std::unique_ptr<event_loop> m_loop;
    kernel_hooks m_hooks;
    std::unique_ptr<upstream_client> m_client;
    std::vector<network_address> m_entries;
    duration m_timeout;
    std::uint64_t m_lastCall = 0;
};

} // namespace plantainlatch
