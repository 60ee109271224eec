#include "main/drain_command.h"

#include <cstdio>

#include <nlohmann/json.hpp>

#include "main/exit_code.h"
#include "main/operator_call.h"

namespace plantainlatch {

namespace {

    bool isDrainKind(const std::string& text)
    {
        return text == "vm" || text == "upstream" || text == "failure_domain" || text == "region";
    }

    int runDrain(const command_line& line, bool draining)
    {
        if (line.arguments().size() != 2 || !isDrainKind(line.arguments()[0])) {
            std::fputs("KIND (vm, upstream, failure_domain or region) and NAME are expected (see --help)\n", stderr);
            return exit_code::badInput;
        }
        const nlohmann::json body { { "kind", line.arguments()[0] }, { "name", line.arguments()[1] },
            { "draining", draining }, { "force", line.given("force") } };
        operator_request request { "POST", "/v1/drains" };
        request.headers = { { "Content-Type", "application/json" } };
        request.body = body.dump();
        return askAndPrint(line, request, [](const nlohmann::json& answer) {
            std::printf("%s %s\n", memberText(answer, "verdict").c_str(), memberText(answer, "message").c_str());
        });
    }

} // namespace

subcommand drainCommand()
{
    std::vector<option_spec> options = operatorOptions(true);
    options.push_back({ "force", "", "drain even if that puts a promise at risk" });
    return { { "plantainlatch drain", "Stops new work on a VM, an upstream, a failure domain or a region.", options,
                 "KIND NAME", exitCodeHelp() },
        [](const command_line& line) { return runDrain(line, true); } };
}

subcommand undrainCommand()
{
    return { { "plantainlatch undrain", "Ends a drain.", operatorOptions(true), "KIND NAME", exitCodeHelp() },
        [](const command_line& line) { return runDrain(line, false); } };
}

} // namespace plantainlatch
