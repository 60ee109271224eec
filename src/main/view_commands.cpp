#include "main/view_commands.h"

#include <cstdio>

#include <nlohmann/json.hpp>

#include "main/operator_call.h"

namespace plantainlatch {

namespace {

    /** Prints a JSON value as an indented tree, two spaces for each level. */
    void printTree(const nlohmann::json& value, const std::string& indent)
    {
        for (const auto& [name, child] : value.items()) {
            if (child.is_structured()) {
                std::printf("%s%s:\n", indent.c_str(), name.c_str());
                printTree(child, indent + "  ");
            } else {
                std::printf("%s%s: %s\n", indent.c_str(), name.c_str(),
                    child.is_string() ? child.get<std::string>().c_str() : child.dump().c_str());
            }
        }
    }

    void printStatus(const nlohmann::json& answer)
    {
        printTable({ { "answered by", memberText(answer, "answered_by") }, { "leader", memberText(answer, "leader") },
            { "current", memberText(answer, "current") }, { "in force here", memberText(answer, "in_force_here") },
            { "in force everywhere", memberText(answer, "in_force_everywhere") } });
        if (!answer.is_object() || !answer.contains("alerts") || answer["alerts"].empty())
            std::printf("\nNo promise is at risk.\n");
        else {
            std::vector<std::vector<std::string>> rows { { "SINCE", "PROMISE AT RISK", "WHAT", "ACTION" } };
            for (const nlohmann::json& item : answer["alerts"])
                rows.push_back({ memberText(item, "since"), memberText(item, "promise"), memberText(item, "what"),
                    memberText(item, "action") });
            std::printf("\n");
            printTable(rows);
        }
        if (answer.is_object() && answer.contains("details") && answer["details"].is_structured()) {
            std::printf("\n");
            printTree(answer["details"], "");
        }
    }

    void printHistory(const nlohmann::json& answer)
    {
        std::vector<std::vector<std::string>> rows { { "NUMBER", "REPLACES", "ACCEPTED AT", "THROUGH", "NOTE" } };
        if (answer.is_object() && answer.contains("history")) {
            for (const nlohmann::json& item : answer["history"])
                rows.push_back({ memberText(item, "number"), memberText(item, "replaces"),
                    memberText(item, "accepted_at"), memberText(item, "accepted_through"), memberText(item, "note") });
        }
        printTable(rows);
    }

    int runHistory(const command_line& line)
    {
        const std::string target = "/v1/history";
        if (!line.given("back-to"))
            return askAndPrint(line, { "GET", target }, printHistory);
        return askAndPrint(line, { "GET", target + "?back_to=" + line.text("back-to") },
            [](const nlohmann::json& answer) { std::printf("%s", memberText(answer, "declaration").c_str()); });
    }

    void printDump(const nlohmann::json& answer)
    {
        std::printf("%s\n", answer.dump(2, ' ', false, nlohmann::json::error_handler_t::replace).c_str());
    }

    subcommand viewCommand(const std::string& name, const std::string& summary, bool withJson,
        const std::string& target, const answer_printer& print)
    {
        subcommand item;
        item.spec = { "plantainlatch " + name, summary, operatorOptions(withJson), {}, exitCodeHelp() };
        item.run = [target, print](const command_line& line) { return askAndPrint(line, { "GET", target }, print); };
        return item;
    }

} // namespace

subcommand statusCommand()
{
    return viewCommand(
        "status", "Shows what is in force and which promises are at risk.", true, "/v1/status", printStatus);
}

subcommand historyCommand()
{
    std::vector<option_spec> options = operatorOptions(true);
    options.push_back(
        { "back-to", "NUMBER", "print a new declaration that reverts to the configuration of this change" });
    return { { "plantainlatch history", "Shows the accepted declarations.", options, {}, exitCodeHelp() }, runHistory };
}

subcommand dumpCommand()
{
    return viewCommand("dump", "Prints the state of the entry's process as JSON.", false, "/v1/dump", printDump);
}

} // namespace plantainlatch
