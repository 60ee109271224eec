#include "main/apply_command.h"

#include <cstdio>

#include <nlohmann/json.hpp>

#include "main/exit_code.h"
#include "main/operator_call.h"

namespace plantainlatch {

namespace {

    /** Prints a heading and the items of list `name`: strings as they are, objects as their name and `field`. */
    void printList(const nlohmann::json& answer, const char* name, const char* heading, const char* field)
    {
        if (!answer.is_object() || !answer.contains(name) || answer[name].empty())
            return;
        std::printf("%s\n", heading);
        for (const nlohmann::json& item : answer[name])
            std::printf("  %s\n",
                item.is_string() ? item.get<std::string>().c_str()
                                 : (memberText(item, "name") + ": " + memberText(item, field)).c_str());
    }

    void printFindings(const nlohmann::json& answer)
    {
        if (!answer.is_object() || !answer.contains("findings"))
            return;
        for (const nlohmann::json& item : answer["findings"])
            std::printf("%s:%s:%s: %s, expected %s\n", memberText(item, "file").c_str(),
                memberText(item, "line").c_str(), memberText(item, "column").c_str(), memberText(item, "what").c_str(),
                memberText(item, "expected").c_str());
    }

    void printPlan(const nlohmann::json& answer)
    {
        printList(answer, "changes", "Changes:", "text");
        printList(answer, "risks", "Risks; each must be named in accept_risks:", "text");
        printFindings(answer);
    }

    void printVerdict(const nlohmann::json& answer)
    {
        std::printf("%s %s\n", memberText(answer, "verdict").c_str(), memberText(answer, "message").c_str());
    }

    subcommand declarationCommand(
        const std::string& name, const std::string& summary, const std::string& target, const answer_printer& print)
    {
        subcommand item;
        item.spec = { "plantainlatch " + name, summary, operatorOptions(true), "FILE", exitCodeHelp() };
        item.run = [target, print](const command_line& line) {
            const auto request = declarationRequest(line, target);
            return request.ok() ? askAndPrint(line, *request, print) : exit_code::badInput;
        };
        return item;
    }

} // namespace

subcommand applyCommand()
{
    return declarationCommand("apply", "Applies a declaration; applying the same file again changes nothing.",
        "/v1/declarations", printVerdict);
}

subcommand planCommand()
{
    return declarationCommand("plan", "Shows what a declaration would change and put at risk.", "/v1/plan", printPlan);
}

} // namespace plantainlatch
