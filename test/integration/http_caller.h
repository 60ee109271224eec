#pragma once

/** \file
 * A blocking HTTP client for tests, with one request at a time.
 */

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "model/address.h"
#include "model/http.h"
#include "runtime/event_loop.h"
#include "services/upstream_client.h"

namespace plantainlatch {

/** An HTTP request to send. */
struct test_request {
    std::string method = "GET";
    std::string target;
    std::vector<header_field> headers = {};
    std::string body = {};
    duration timeout = std::chrono::seconds(5);
};

/** Sends requests, each on a fresh connection, and waits for their answers. */
class http_caller {
public:
    http_caller();

    /** The answer; none if no complete answer arrived within the timeout. */
    std::optional<upstream_answer> send(const network_address& to, const test_request& request);

private:
    std::unique_ptr<event_loop> m_loop;
    kernel_hooks m_hooks;
    std::unique_ptr<upstream_client> m_client;
    std::uint64_t m_lastCall = 0;
};

/** The value of a header; empty if the answer lacks it. */
std::string headerOf(const upstream_answer& answer, const std::string& name);

} // namespace plantainlatch
