#include "upstream_standin/standin_options.h"

#include <limits>
#include <map>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace plantainlatch {

namespace {

    constexpr std::uint32_t maximumCount = 200;

    /** Reads options and keeps the first error. */
    struct option_reader {
        const command_line& line;
        absl::Status status = absl::OkStatus();

        std::uint32_t readUnsigned32(const std::string& name)
        {
            const std::uint64_t value = line.number(name, status);
            if (value > std::numeric_limits<std::int32_t>::max())
                fail(absl::StrCat("--", name, " is too large"));
            return static_cast<std::uint32_t>(value);
        }

        template <typename Value> Value choice(const std::string& name, const std::map<std::string, Value>& values)
        {
            const auto found = values.find(line.text(name));
            if (found != values.end())
                return found->second;
            fail(absl::StrCat("--", name, " does not accept '", line.text(name), "'"));
            return Value {};
        }

        void fail(const std::string& text)
        {
            if (status.ok())
                status = absl::InvalidArgumentError(text);
        }
    };

    void readLocations(option_reader& reader, standin_options& options)
    {
        for (const std::string& text : reader.line.texts("place")) {
            const std::vector<std::string> parts = absl::StrSplit(text, '/');
            if (parts.size() == 2)
                options.locations.push_back({ region_id(parts[0]), failure_domain_id(parts[1]) });
            else
                reader.fail(absl::StrCat("--place takes REGION/FAILURE_DOMAIN, not '", text, "'"));
        }
    }

    void readWork(option_reader& reader, standin_options& options)
    {
        options.slots = reader.readUnsigned32("slots");
        options.connections = reader.readUnsigned32("connections");
        options.queueLength = reader.readUnsigned32("queue");
        options.serviceTime = reader.line.span("service-time", reader.status);
        options.distribution = reader.choice<time_distribution>("distribution",
            { { "constant", time_distribution::Constant }, { "exponential", time_distribution::Exponential },
                { "lognormal", time_distribution::Lognormal } });
        options.coldRequests = reader.readUnsigned32("cold-requests");
        options.coldFactor = reader.line.decimal("cold-factor", reader.status);
        options.answerBytes = reader.readUnsigned32("answer-bytes");
    }

    void readReports(option_reader& reader, standin_options& options)
    {
        options.load = reader.choice<load_answer>("load",
            { { "truth", load_answer::Truth }, { "idle", load_answer::Idle }, { "busy", load_answer::Busy },
                { "silent", load_answer::Silent } });
        options.loadLag = reader.line.span("load-lag", reader.status);
        options.healthy = reader.choice<bool>("health", { { "ok", true }, { "failing", false } });
    }

} // namespace

command_spec standinCommand()
{
    return {
        "upstream_standin",
        "Stands in for upstreams: announces them, executes requests in slots, sheds load and drains.",
        {
            { "service", "NAME", "the service that it offers", {}, false, true },
            { "id", "PREFIX", "upstreams are named PREFIX-1, PREFIX-2, ... (default: the service)" },
            { "count", "N", "number of upstreams in this process", "1" },
            { "address", "IP:PORT", "address of the first upstream; the others use the ports after it", {}, false,
                true },
            { "announce", "IP:PORT", "address to announce instead of --address, such as that of a proxy" },
            { "place", "REGION/FAILURE_DOMAIN", "location; several are assigned to the upstreams round-robin", {}, true,
                true },
            { "entry", "IP:PORT", "an entry to announce to; the next one is tried when it fails", {}, true },
            { "slots", "N", "number of requests that are executed concurrently", "4" },
            { "connections", "N", "connection limit that is announced", "360" },
            { "queue", "N", "maximum number of requests that wait for a slot; further ones are shed", "8" },
            { "service-time", "TIME", "mean execution time of a request", "10ms" },
            { "distribution", "NAME", "constant, exponential or lognormal", "constant" },
            { "cold-requests", "N", "number of requests after the start that are slower", "0" },
            { "cold-factor", "X", "factor on the service time of the first of them", "5" },
            { "answer-bytes", "N", "number of padding bytes in each answer", "0" },
            { "load", "NAME", "what /load reports: truth, idle, busy or silent", "truth" },
            { "load-lag", "TIME", "age of the load that /load reports", "0ms" },
            { "health", "NAME", "what /health reports: ok or failing", "ok" },
            { "drain-time", "TIME", "how long requests are still accepted after SIGTERM", "2s" },
            { "record", "FILE", "file to which upstream, method, request and key of each request are appended" },
            { "seed", "N", "seed of the service times; 0 takes a random one", "0" },
        },
        {},
        "The request headers X-Standin-Crash: 1 (exit at once) and X-Standin-Hang: 1 (hold the request silently)\n"
        "inject faults. On SIGTERM, the upstreams deregister, accepted requests are finished, and the exit code is 0."
    };
}

absl::StatusOr<standin_options> readStandinOptions(const command_line& line)
{
    option_reader reader { line };
    standin_options options;
    options.service = service_id(line.text("service"));
    options.idPrefix = line.given("id") ? line.text("id") : line.text("service");
    options.count = reader.readUnsigned32("count");
    if (options.count == 0 || options.count > maximumCount)
        reader.fail(absl::StrCat("--count must be from 1 to ", maximumCount));
    const std::vector<network_address> addresses = line.addresses("address", reader.status);
    if (!addresses.empty())
        options.firstAddress = addresses.front();
    const std::vector<network_address> announced = line.addresses("announce", reader.status);
    if (!announced.empty())
        options.announcedAddress = announced.front();
    if (options.firstAddress.port + options.count > std::numeric_limits<std::uint16_t>::max())
        reader.fail("--address leaves too few ports for --count upstreams");
    readLocations(reader, options);
    options.entries = line.addresses("entry", reader.status);
    readWork(reader, options);
    readReports(reader, options);
    options.drainTime = line.span("drain-time", reader.status);
    options.recordFile = line.text("record");
    options.seed = line.number("seed", reader.status);
    if (!reader.status.ok())
        return reader.status;
    return options;
}

} // namespace plantainlatch
