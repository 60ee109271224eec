#include "main/subcommand.h"

#include <cstdio>
#include <fstream>

#include "absl/strings/str_cat.h"
#include "main/exit_code.h"

namespace plantainlatch {

int runSubcommand(const subcommand& item, const std::vector<std::string>& arguments)
{
    const absl::StatusOr<command_line> line = command_line::parse(item.spec, arguments);
    if (!line.ok()) {
        std::fprintf(
            stderr, "%s: %s (see --help)\n", item.spec.name.c_str(), std::string(line.status().message()).c_str());
        return exit_code::badInput;
    }
    if (line->helpWanted()) {
        std::fputs(commandHelp(item.spec).c_str(), stdout);
        return exit_code::ok;
    }
    return item.run(*line);
}

std::string exitCodeHelp()
{
    return "Exit codes: 0 success, 1 refused or failed, 2 invalid command line or file (nothing was sent),\n"
           "3 no entry answered (it is safe to repeat the command).";
}

absl::StatusOr<std::string> readFile(const std::string& path, std::size_t limit)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return absl::NotFoundError(absl::StrCat(path, ": can't be read"));
    std::string text(limit + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(file.gcount()));
    if (text.size() > limit)
        return absl::ResourceExhaustedError(absl::StrCat(path, ": larger than ", limit, " bytes"));
    return text;
}

} // namespace plantainlatch
