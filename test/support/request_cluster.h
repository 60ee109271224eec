#pragma once

/** \file
 * Some entries' request services over one log and one set of upstreams, on one paused clock.
 */

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "decision/request/request_service.h"
#include "kernel/kernel.h"
#include "support/fake_log.h"
#include "support/fake_upstreams.h"

namespace plantainlatch {

/** What one caller sent and got. */
struct caller_record {
    std::size_t entry = 0;
    request_id id;
    std::string body;
    std::optional<caller_answer> answer;
    int answers = 0;
};

/** One VM of the system, with a request service and ports to the fakes. */
struct fake_entry {
    std::unique_ptr<kernel> core;
    std::unique_ptr<fake_log_member> log;
    fake_upstreams::entry_ports ports;
    std::unique_ptr<request_service> requests;
    request_port* port = nullptr;
    std::size_t portsNumber = 0;
};

/** Entries with one service `taller`: GET is idempotent, POST is not. */
class request_cluster {
public:
    request_cluster(std::uint64_t seed, std::size_t entryCount, std::size_t upstreamCount, std::uint32_t slots,
        request_options requestOptions = {});

    /** Sends a request; the record's address holds for the life of the world. */
    caller_record& send(std::size_t entry, caller_request request);
    caller_record& get(std::size_t entry, const std::string& target);
    caller_record& post(std::size_t entry, const std::string& body, std::optional<std::string> key = {});

    /** The entry's process dies: no event reaches it, and its callers hear nothing. */
    void kill(std::size_t entry);
    /** The entry's process starts anew, as a new incarnation. */
    void start(std::size_t entry);

    paused_runtime runtime;
    fake_log log;
    fake_upstreams upstreams;
    request_options options;
    std::vector<std::unique_ptr<caller_record>> sent;
    std::vector<fake_entry> entries;

private:
    std::uint64_t m_starts = 0;
    std::size_t m_portsGiven = 0;
    /** What dead processes were made of; late events find it and do nothing. */
    std::vector<fake_entry> m_dead;
};

} // namespace plantainlatch
