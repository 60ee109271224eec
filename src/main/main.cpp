#include <cstdio>
#include <string>
#include <vector>

#include "main/apply_command.h"
#include "main/check_command.h"
#include "main/drain_command.h"
#include "main/exit_code.h"
#include "main/explain_command.h"
#include "main/serve_command.h"
#include "main/subcommand.h"
#include "main/view_commands.h"
#include "platform/platform_command.h"

namespace plantainlatch {

namespace {

    std::vector<subcommand> allSubcommands()
    {
        return { serveCommand(), checkCommand(), planCommand(), applyCommand(), statusCommand(), historyCommand(),
            dumpCommand(), drainCommand(), undrainCommand(), explainCommand(), platform::platformCommand() };
    }

    /** The last word of the command's name, which selects the subcommand. */
    std::string subcommandName(const subcommand& item) { return item.spec.name.substr(item.spec.name.rfind(' ') + 1); }

    void printUsage(std::FILE* out, const std::vector<subcommand>& items)
    {
        std::fputs("plantainlatch routes requests from callers to upstreams in several regions.\n\n"
                   "Usage: plantainlatch SUBCOMMAND [OPTION...]\n\n",
            out);
        for (const subcommand& item : items)
            std::fprintf(out, "  %-8s  %s\n", subcommandName(item).c_str(), item.spec.summary.c_str());
        std::fprintf(
            out, "\nplantainlatch SUBCOMMAND --help shows the options of a subcommand.\n%s\n", exitCodeHelp().c_str());
    }

    int runProgram(const std::vector<std::string>& arguments)
    {
        const std::vector<subcommand> items = allSubcommands();
        if (arguments.empty()) {
            printUsage(stderr, items);
            return exit_code::badInput;
        }
        if (arguments.front() == "--help") {
            printUsage(stdout, items);
            return exit_code::ok;
        }
        for (const subcommand& item : items) {
            if (subcommandName(item) == arguments.front())
                return runSubcommand(item, { arguments.begin() + 1, arguments.end() });
        }
        std::fprintf(stderr, "plantainlatch: unknown subcommand '%s' (see --help)\n", arguments.front().c_str());
        return exit_code::badInput;
    }

} // namespace

} // namespace plantainlatch

int main(int argumentCount, char** arguments)
{
    return plantainlatch::runProgram({ arguments + 1, arguments + argumentCount });
}
