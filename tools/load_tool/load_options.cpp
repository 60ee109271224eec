#include "load_tool/load_options.h"

#include <limits>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "core/internal_assert.h"

namespace plantainlatch {

namespace {

    /** Upper bounds for the options of one run. */
    constexpr double maximumRate = 200'000;
    constexpr std::uint64_t maximumRequestCount = 20'000'000;
    constexpr std::uint32_t maximumTries = 20;

    absl::Status readMix(const std::string& text, load_options& options)
    {
        const std::vector<std::string> parts = absl::StrSplit(text, ',');
        if (parts.size() != workKindCount)
            return absl::InvalidArgumentError("--mix takes three weights, such as 70,25,5");
        std::uint32_t sum = 0;
        for (std::size_t i = 0; i < workKindCount; ++i) {
            if (!absl::SimpleAtoi(parts[i], &options.mix[i]) || options.mix[i] > 1000)
                return absl::InvalidArgumentError("--mix takes weights from 0 to 1000");
            sum += options.mix[i];
        }
        return sum > 0 ? absl::OkStatus() : absl::InvalidArgumentError("--mix needs a weight above 0");
    }

    absl::Status checkBounds(const load_options& options)
    {
        if (options.entries.empty())
            return absl::InvalidArgumentError("--entry is missing");
        if (!(options.rate > 0) || options.rate > maximumRate)
            return absl::InvalidArgumentError(absl::StrCat("--rate must be above 0 and at most ", maximumRate));
        const double seconds = std::chrono::duration<double>(options.sendDuration).count();
        if (options.rate * seconds > static_cast<double>(maximumRequestCount))
            return absl::InvalidArgumentError(
                absl::StrCat("--rate and --duration make more than ", maximumRequestCount, " requests"));
        if (options.tries == 0 || options.tries > maximumTries)
            return absl::InvalidArgumentError(absl::StrCat("--tries must be from 1 to ", maximumTries));
        if (options.timeout <= duration::zero())
            return absl::InvalidArgumentError("--timeout must be above 0");
        return absl::OkStatus();
    }

} // namespace

std::string workKindName(work_kind kind)
{
    switch (kind) {
    case work_kind::Idempotent:
        return "idempotent";
    case work_kind::Keyed:
        return "keyed";
    case work_kind::Unkeyed:
        return "unkeyed";
    }
    internal_assert(false) << "work kind " << static_cast<int>(kind);
    return "unknown";
}

command_spec loadCommand()
{
    return { "load_tool", "Sends requests at a fixed rate, independently of the answers, and reports their results.",
        {
            { "entry", "IP:PORT", "an entry to ask for the list of entries", {}, true, true },
            { "near", "FAILURE_DOMAIN", "failure domain of the callers; several are used round-robin", {}, true },
            { "service", "NAME", "the service to call", {}, false, true },
            { "rate", "N", "requests per second", "100" },
            { "duration", "TIME", "how long to send", "10s" },
            { "mix", "I,K,U", "weights of idempotent, keyed and unkeyed requests", "70,30,0" },
            { "get-path", "PATH", "path of the idempotent requests", "/item" },
            { "post-path", "PATH", "path of the other requests", "/orders" },
            { "body-bytes", "N", "body size of each POST", "100" },
            { "timeout", "TIME", "time limit of a request, from its scheduled send time", "5s" },
            { "tries", "N", "maximum number of times that a request is sent; it is resent only if that is safe", "5" },
            { "json", "FILE", "file to which the report is also written as JSON" },
            { "seed", "N", "seed of the mix; 0 takes a random one", "0" },
            { "require-all", "",
                "exit with 1 unless every request got its own complete answer with a status below 300" },
        },
        {}, "Latency is measured from the scheduled send time. Exit codes: 0 done, 1 failed, 2 invalid options." };
}

absl::StatusOr<load_options> readLoadOptions(const command_line& line)
{
    absl::Status status = absl::OkStatus();
    load_options options;
    options.entries = line.addresses("entry", status);
    options.near = line.texts("near");
    if (options.near.empty())
        options.near.emplace_back();
    options.service = service_id(line.text("service"));
    options.rate = line.decimal("rate", status);
    options.sendDuration = line.span("duration", status);
    status.Update(readMix(line.text("mix"), options));
    options.getPath = line.text("get-path");
    options.postPath = line.text("post-path");
    options.bodyBytes = static_cast<std::uint32_t>(line.number("body-bytes", status));
    options.timeout = line.span("timeout", status);
    options.tries = static_cast<std::uint32_t>(line.number("tries", status));
    options.jsonFile = line.text("json");
    options.seed = line.number("seed", status);
    options.requireAll = line.given("require-all");
    status.Update(checkBounds(options));
    if (!status.ok())
        return status;
    return options;
}

} // namespace plantainlatch
