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

        std::uint32_t smallNumber(const std::string& name)
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
        options.slots = reader.smallNumber("slots");
        options.connections = reader.smallNumber("connections");
        options.queueLength = reader.smallNumber("queue");
        options.serviceTime = reader.line.span("service-time", reader.status);
        options.distribution = reader.choice<time_distribution>("distribution",
            { { "constant", time_distribution::Constant }, { "exponential", time_distribution::Exponential },
                { "lognormal", time_distribution::Lognormal } });
        options.coldRequests = reader.smallNumber("cold-requests");
        options.coldFactor = reader.line.decimal("cold-factor", reader.status);
        options.answerBytes = reader.smallNumber("answer-bytes");
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
    return { "upstream_standin", "Stands in for upstreams: announces itself, runs requests in slots, sheds, drains.",
        {
            { "service", "NAME", "the service that it offers", {}, false, true },
            { "id", "PREFIX", "upstreams are named PREFIX-1, PREFIX-2, ... (default: the service)" },
            { "count", "N", "how many upstreams live in this process", "1" },
            { "address", "IP:PORT", "of the first one; the next ones take the next ports", {}, false, true },
            { "announce", "IP:PORT", "what to announce instead of --address, for a proxy before it" },
            { "place", "REGION/FAILURE_DOMAIN", "where it is; several are taken in turn", {}, true, true },
            { "entry", "IP:PORT", "an entry to announce to; the next one is tried when it fails", {}, true },
            { "slots", "N", "requests that run at once", "4" },
            { "connections", "N", "connections that it says it bears", "360" },
            { "queue", "N", "requests that wait for a slot; further ones are shed", "8" },
            { "service-time", "TIME", "mean time of one request", "10ms" },
            { "distribution", "NAME", "constant, exponential or lognormal", "constant" },
            { "cold-requests", "N", "requests that warm a cold start", "0" },
            { "cold-factor", "X", "how many times longer the first of them takes", "5" },
            { "answer-bytes", "N", "padding of each answer", "0" },
            { "load", "NAME", "what /load says: truth, idle, busy or silent", "truth" },
            { "load-lag", "TIME", "how old the reported load is", "0ms" },
            { "health", "NAME", "what /health says: ok or failing", "ok" },
            { "drain-time", "TIME", "how long it still accepts work after SIGTERM", "2s" },
            { "record", "FILE", "appends METHOD, request and key of each request that it runs" },
            { "seed", "N", "of the service times; 0 takes any", "0" },
        },
        {},
        "The request headers X-Standin-Crash: 1 (exit at once) and X-Standin-Hang: 1 (hold the request silently)\n"
        "provoke faults. SIGTERM says goodbye, finishes what runs and exits with 0." };
}

absl::StatusOr<standin_options> readStandinOptions(const command_line& line)
{
    option_reader reader { line };
    standin_options options;
    options.service = service_id(line.text("service"));
    options.idPrefix = line.given("id") ? line.text("id") : line.text("service");
    options.count = reader.smallNumber("count");
    if (options.count == 0 || options.count > maximumCount)
        reader.fail(absl::StrCat("--count must be from 1 to ", maximumCount));
    const std::vector<network_address> addresses = line.addresses("address", reader.status);
    if (!addresses.empty())
        options.firstAddress = addresses.front();
    const std::vector<network_address> announced = line.addresses("announce", reader.status);
    if (!announced.empty())
        options.announcedAddress = announced.front();
    if (options.firstAddress.port + options.count > std::numeric_limits<std::uint16_t>::max())
        reader.fail("--address leaves too few ports");
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
