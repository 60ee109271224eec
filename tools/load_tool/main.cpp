#include <cstdio>
#include <fstream>

#include "load_tool/load_generator.h"
#include "runtime/event_loop.h"
#include "services/json_log.h"
#include "services/upstream_client.h"

namespace plantainlatch {

namespace {

    constexpr int exitOk = 0;
    constexpr int exitFailed = 1;
    constexpr int exitBadInput = 2;
    /** How much longer a run may take than its send duration plus the request time-out, since it also waits for the
     * first list of entries and for late answers. */
    constexpr duration maximumOverrun = std::chrono::seconds(20);

    int fail(const absl::Status& status, int code)
    {
        std::fprintf(stderr, "load_tool: %s\n", std::string(status.message()).c_str());
        return code;
    }

    int writeReport(const run_report& report, const load_options& options)
    {
        std::fputs(report.text().c_str(), stdout);
        if (!options.jsonFile.empty()) {
            std::ofstream file(options.jsonFile);
            file << report.json() << "\n";
            if (!file.flush())
                return fail(absl::InternalError(options.jsonFile + ": can't be written"), exitFailed);
        }
        if (options.requireAll && !report.allServed())
            return fail(absl::InternalError("not every request was served"), exitFailed);
        return exitOk;
    }

    int runLoad(const load_options& options)
    {
        const auto loop = event_loop::create(options.seed);
        if (!loop.ok())
            return fail(loop.status(), exitFailed);
        const kernel_hooks hooks = (*loop)->hooks(jsonLog("load_tool", "warning", log_stream::Error));
        const auto client = upstream_client::create((*loop)->base(), hooks);
        run_report report;
        load_generator generator(hooks, client->port(), options, report);
        bool finished = false;
        generator.start([&] {
            finished = true;
            (*loop)->stop();
        });
        hooks.schedule(options.sendDuration + options.timeout + maximumOverrun, [&] { (*loop)->stop(); });
        (*loop)->run();
        if (!finished)
            return fail(absl::DeadlineExceededError("the run did not end in time"), exitFailed);
        return writeReport(report, options);
    }

    int runProgram(const std::vector<std::string>& arguments)
    {
        const auto line = command_line::parse(loadCommand(), arguments);
        if (!line.ok())
            return fail(line.status(), exitBadInput);
        if (line->helpWanted()) {
            std::fputs(commandHelp(loadCommand()).c_str(), stdout);
            return exitOk;
        }
        const auto options = readLoadOptions(*line);
        if (!options.ok())
            return fail(options.status(), exitBadInput);
        return runLoad(*options);
    }

} // namespace

} // namespace plantainlatch

int main(int argumentCount, char** arguments)
{
    return plantainlatch::runProgram({ arguments + 1, arguments + argumentCount });
}
