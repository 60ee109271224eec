#include "main/operator_call.h"

#include <algorithm>
#include <cstdio>

#include <nlohmann/json.hpp>

#include "codec/declaration_yaml.h"
#include "codec/yaml_node.h"
#include "core/findings.h"
#include "main/exit_code.h"

namespace plantainlatch {

namespace {

    constexpr int statusOk = 200;
    constexpr int statusBadRequest = 400;

    finding findingOf(const nlohmann::json& item)
    {
        finding result;
        result.position.file = memberText(item, "file");
        if (item.is_object() && item.contains("line") && item["line"].is_number_integer())
            result.position.line = item["line"].get<int>();
        if (item.is_object() && item.contains("column") && item["column"].is_number_integer())
            result.position.column = item["column"].get<int>();
        result.what = memberText(item, "what");
        result.expected = memberText(item, "expected");
        return result;
    }

    void printRefusal(const operator_answer& answer)
    {
        const nlohmann::json json = nlohmann::json::parse(answer.body, nullptr, false);
        const std::string error = memberText(json, "error");
        const std::string message = error.empty() ? memberText(json, "message") : error;
        std::fprintf(stderr, "%s: %s\n", formatAddress(answer.entry).c_str(),
            message.empty() ? answer.body.c_str() : message.c_str());
        if (!json.is_object() || !json.contains("findings"))
            return;
        for (const nlohmann::json& item : json["findings"])
            std::fprintf(stderr, "%s\n", formatFinding(findingOf(item)).c_str());
    }

    int printAnswer(const command_line& line, const operator_answer& answer, const answer_printer& print)
    {
        if (answer.status != statusOk) {
            if (line.given("json"))
                std::fputs(answer.body.c_str(), stdout);
            printRefusal(answer);
            return answer.status == statusBadRequest ? exit_code::badInput : exit_code::failed;
        }
        const nlohmann::json json = nlohmann::json::parse(answer.body, nullptr, false);
        if (line.given("json"))
            std::fputs(answer.body.c_str(), stdout);
        else
            print(json);
        return exit_code::ok;
    }

    absl::Status checkDeclaration(const std::string& text, const std::string& path)
    {
        finding_list findings;
        return parseDeclaration(text, path, findings).status();
    }

} // namespace

std::vector<option_spec> operatorOptions(bool withJson)
{
    std::vector<option_spec> options {
        { "entry", "IP:PORT", "an entry to call; the next one is tried if it does not answer", {}, true, true },
        { "timeout", "TIME", "time limit for the answer of each entry", "10s" },
    };
    if (withJson)
        options.push_back({ "json", "", "print the answer as JSON" });
    return options;
}

int askAndPrint(const command_line& line, const operator_request& request, const answer_printer& print)
{
    absl::Status status = absl::OkStatus();
    const std::vector<network_address> entries = line.addresses("entry", status);
    const duration timeout = line.span("timeout", status);
    if (!status.ok()) {
        std::fprintf(stderr, "%s\n", std::string(status.message()).c_str());
        return exit_code::badInput;
    }
    const auto client = operator_client::create(entries, timeout);
    const auto answer = client.ok() ? (*client)->ask(request) : absl::StatusOr<operator_answer>(client.status());
    if (!answer.ok()) {
        std::fprintf(stderr, "%s\n", std::string(answer.status().message()).c_str());
        return exit_code::unreachable;
    }
    return printAnswer(line, *answer, print);
}

absl::StatusOr<operator_request> declarationRequest(const command_line& line, const std::string& target)
{
    if (line.arguments().size() != 1) {
        std::fputs("exactly one FILE is expected (see --help)\n", stderr);
        return absl::InvalidArgumentError("FILE");
    }
    const std::string& path = line.arguments().front();
    const absl::StatusOr<std::string> text = readFile(path, maximumYamlBytes);
    const absl::Status status = text.ok() ? checkDeclaration(*text, path) : text.status();
    if (!status.ok()) {
        std::fprintf(stderr, "%s\n", std::string(status.message()).c_str());
        return status;
    }
    operator_request request { "POST", target };
    request.headers = { { "Content-Type", "application/yaml" }, { "X-File-Name", path } };
    request.body = *text;
    return request;
}

std::string memberText(const nlohmann::json& object, const char* name)
{
    if (!object.is_object() || !object.contains(name))
        return {};
    const nlohmann::json& value = object[name];
    return value.is_string() ? value.get<std::string>() : value.dump();
}

void printTable(const std::vector<std::vector<std::string>>& rows)
{
    std::vector<std::size_t> widths;
    for (const auto& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    for (const auto& row : rows) {
        std::string text;
        for (std::size_t i = 0; i < row.size(); ++i)
            text += i + 1 < row.size() ? row[i] + std::string(widths[i] - row[i].size() + 2, ' ') : row[i];
        std::printf("%s\n", text.c_str());
    }
}

} // namespace plantainlatch
