#include <cstdio>

#include "fault_proxy/control_server.h"
#include "runtime/command_line.h"
#include "runtime/event_loop.h"
#include "services/json_log.h"

namespace plantainlatch {

namespace {

    constexpr int exitOk = 0;
    constexpr int exitFailed = 1;
    constexpr int exitBadInput = 2;

    command_spec proxyCommand()
    {
        return { "fault_proxy", "Forwards TCP connections and injects faults that are set over HTTP.",
            {
                { "control", "IP:PORT", "address of the HTTP interface for setting faults", {}, false, true },
                { "route", "NAME=LISTEN/TARGET", "a route, which listens on one address and forwards to the other", {},
                    true, true },
            },
            {},
            "GET /routes; PUT /routes/NAME/faults with any of {\"delay_ms\":N, \"stop_up\":B, \"stop_down\":B,\n"
            "\"refuse\":B, \"half_open\":B, \"truncate_after\":N, \"rate\":N}; POST /routes/NAME/cut;\n"
            "POST /routes/NAME/silence-open. NAME* selects all routes with this prefix." };
    }

    int fail(const absl::Status& status, int code)
    {
        std::fprintf(stderr, "fault_proxy: %s\n", std::string(status.message()).c_str());
        return code;
    }

    absl::Status openRoutes(event_loop& loop, const kernel_hooks& hooks, const command_line& line,
        std::vector<std::unique_ptr<proxy_route>>& routes)
    {
        for (const std::string& text : line.texts("route")) {
            const auto spec = parseRoute(text);
            if (!spec.ok())
                return spec.status();
            auto route = proxy_route::create(loop.base(), hooks, *spec);
            if (!route.ok())
                return route.status();
            routes.push_back(std::move(*route));
        }
        return absl::OkStatus();
    }

    int runProxy(const command_line& line, const network_address& control)
    {
        const auto loop = event_loop::create(0);
        if (!loop.ok())
            return fail(loop.status(), exitFailed);
        const kernel_hooks hooks = (*loop)->hooks(jsonLog("fault_proxy", "info", log_stream::Error));
        std::vector<std::unique_ptr<proxy_route>> routes;
        if (const absl::Status status = openRoutes(**loop, hooks, line, routes); !status.ok())
            return fail(status, status.code() == absl::StatusCode::kInvalidArgument ? exitBadInput : exitFailed);
        const auto server = control_server::create((*loop)->base(), control, routes);
        absl::Status status = server.status();
        status.Update((*loop)->onTerminate([&] { (*loop)->stop(); }));
        if (!status.ok())
            return fail(status, exitFailed);
        (*loop)->run();
        return exitOk;
    }

    int runProgram(const std::vector<std::string>& arguments)
    {
        const auto line = command_line::parse(proxyCommand(), arguments);
        if (!line.ok())
            return fail(line.status(), exitBadInput);
        if (line->helpWanted()) {
            std::fputs(commandHelp(proxyCommand()).c_str(), stdout);
            return exitOk;
        }
        absl::Status status = absl::OkStatus();
        const std::vector<network_address> control = line->addresses("control", status);
        if (!status.ok())
            return fail(status, exitBadInput);
        return runProxy(*line, control.front());
    }

} // namespace

} // namespace plantainlatch

int main(int argumentCount, char** arguments)
{
    return plantainlatch::runProgram({ arguments + 1, arguments + argumentCount });
}
