#pragma once

/** \file
 * The request services of several entries with a shared fake log and shared fake upstreams, in simulated time.
 */

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "decision/request/request_service.h"
#include "kernel/kernel.h"
#include "ports/quota_port.h"
#include "support/fake_log.h"
#include "support/fake_upstreams.h"

namespace plantainlatch {

/** A request and the answers to it. */
struct caller_record {
    std::size_t entry = 0;
    request_id id;
    std::string body;
    std::optional<caller_answer> answer;
    int answers = 0;
};

/** An entry: a kernel that runs a request service with ports to the fakes. */
struct fake_entry {
    std::unique_ptr<kernel> core;
    std::unique_ptr<fake_log_member> log;
    fake_upstreams::entry_ports ports;
    membership_port membership;
    std::unique_ptr<request_service> requests;
    request_port* port = nullptr;
    std::size_t portsIndex = 0;
};

/** Several entries and the service `taller`, for which GET is idempotent and POST is not. */
class request_cluster {
public:
    request_cluster(std::uint64_t seed, std::size_t entryCount, std::size_t upstreamCount, std::uint32_t slots,
        request_options requestOptions = {});

    /** Sends a request. The returned record stays valid until the cluster is destroyed. */
    caller_record& send(std::size_t entry, caller_request request);
    caller_record& get(std::size_t entry, const std::string& target);
    caller_record& post(std::size_t entry, const std::string& body, std::optional<std::string> key = {});

    /** Simulates a crash of the entry's process: it gets no more events, and its callers get no answers. */
    void kill(std::size_t entry);
    /** Starts the entry's process as a new incarnation. */
    void start(std::size_t entry);

    paused_runtime runtime;
    fake_log log;
    fake_upstreams upstreams;
    request_options options;
    /** The age of the last leader contact of every entry. */
    std::optional<duration> contactAge;
    std::vector<std::unique_ptr<caller_record>> sent;
    std::vector<fake_entry> entries;
    /** The accounts of the requests that were charged and refunded, if `options.chargesQuotas` is set, and the answer
     * to each charge. */
    std::vector<account_id> charged;
    std::vector<account_id> refunded;
    quota_verdict quotaVerdict;

private:
    quota_port m_quotas;
    std::uint64_t m_starts = 0;
    std::size_t m_portsCount = 0;
    /** The fakes of killed entries, kept because scheduled events still refer to them. */
    std::vector<fake_entry> m_killed;
};

} // namespace plantainlatch
