#include "main/explain_command.h"

#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "codec/log_json.h"
#include "decision/operators/request_explanation.h"
#include "main/exit_code.h"

namespace plantainlatch {

namespace {

    /** The parsed lines of one file, and the number of lines that are not valid log lines. */
    struct read_result {
        std::vector<log_line> lines;
        std::uint64_t unreadable = 0;
        /** The number of the first unreadable line, counted from 1; 0 if there is none. */
        std::uint64_t firstUnreadable = 0;
    };

    /** Appends the lines of the file to `result`; returns false when the file can't be opened. */
    bool readLog(const std::string& path, read_result& result, std::uint64_t& position)
    {
        std::ifstream file(path);
        if (!file)
            return false;
        std::string text;
        for (std::uint64_t number = 1; std::getline(file, text); ++number) {
            std::optional<log_line> line = parseLogLine(text);
            if (line) {
                line->position = ++position;
                result.lines.push_back(std::move(*line));
            } else if (!text.empty() && ++result.unreadable == 1) {
                result.firstUnreadable = number;
            }
        }
        return true;
    }

    void print(const log_line& line)
    {
        std::string text = line.time + " " + line.vm + " " + line.what;
        for (const auto& [name, value] : line.fields) {
            if (name != "time" && name != "vm" && name != "message" && name != "service" && name != "level")
                absl::StrAppend(&text, " ", name, "=", value);
        }
        std::printf("%s\n", text.c_str());
    }

    int run(const command_line& line)
    {
        if (line.arguments().empty()) {
            std::fputs("explain: at least one FILE is expected (see --help)\n", stderr);
            return exit_code::badInput;
        }
        std::vector<log_line> all;
        std::uint64_t position = 0;
        for (const std::string& path : line.arguments()) {
            read_result read;
            if (!readLog(path, read, position)) {
                std::fprintf(stderr, "explain: %s: can't be opened\n", path.c_str());
                return exit_code::badInput;
            }
            if (read.unreadable > 0)
                std::fprintf(stderr, "explain: %s: skipped %llu invalid log lines, the first is line %llu\n",
                    path.c_str(), static_cast<unsigned long long>(read.unreadable),
                    static_cast<unsigned long long>(read.firstUnreadable));
            all.insert(all.end(), read.lines.begin(), read.lines.end());
        }
        const request_explanation explained = explainRequest(std::move(all), line.text("id"));
        for (const log_line& item : explained.lines)
            print(item);
        std::printf("cause: %s\n", explained.cause.c_str());
        return explained.lines.empty() ? exit_code::failed : exit_code::ok;
    }

} // namespace

subcommand explainCommand()
{
    option_spec id;
    id.name = "id";
    id.valueName = "ID";
    id.help = "the request id that the caller set";
    id.required = true;
    command_spec spec;
    spec.name = "plantainlatch explain";
    spec.summary = "Explains the result of a request from log files.";
    spec.options = { id };
    spec.argumentsName = "FILE...";
    spec.footer = exitCodeHelp();
    return { spec, run };
}

} // namespace plantainlatch
