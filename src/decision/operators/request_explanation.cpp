#include "decision/operators/request_explanation.h"

#include <algorithm>
#include <tuple>

#include "absl/strings/str_cat.h"

namespace plantainlatch {

namespace {

    bool isEarlier(const log_line& left, const log_line& right)
    {
        return std::tie(left.time, left.position) < std::tie(right.time, right.position);
    }

    const log_line* lastOf(const std::vector<log_line>& lines, const std::string& what)
    {
        const auto found
            = std::find_if(lines.rbegin(), lines.rend(), [&what](const log_line& line) { return line.what == what; });
        return found != lines.rend() ? &*found : nullptr;
    }

    /** Adds the last line before `requestLine` in which the same VM logged a change of its configuration, and the last
     * in which it logged a change of the upstream to which `requestLine` refers. */
    void addPrecedingState(std::vector<log_line>& chosen, const std::vector<log_line>& all, const log_line& requestLine)
    {
        const log_line* upstream = nullptr;
        const log_line* configuration = nullptr;
        for (const log_line& line : all) {
            if (line.service != "beliefs" || line.vm != requestLine.vm || !isEarlier(line, requestLine))
                continue;
            if (line.what == "configuration-in-force")
                configuration = &line;
            else if (!requestLine.field("upstream").empty() && line.field("upstream") == requestLine.field("upstream"))
                upstream = &line;
        }
        for (const log_line* preceding : { configuration, upstream }) {
            if (preceding != nullptr)
                chosen.push_back(*preceding);
        }
    }

    std::string describeAttempt(const log_line& attempt)
    {
        return absl::StrCat("upstream ", attempt.field("upstream"), " (object ", attempt.field("object"), ", load ",
            attempt.field("load"), ", expected ", attempt.field("expected_ms"), " ms)");
    }

    std::string causeOfTimeout(const log_line& answered, const log_line* began)
    {
        const std::string limit = answered.field("limit_ms");
        if (began == nullptr)
            return absl::StrCat("its deadline of ", limit, " ms passed before it was sent to any upstream");
        return absl::StrCat(describeAttempt(*began), " did not answer within the request's deadline of ", limit, " ms");
    }

    std::string causeOfAnswer(const std::vector<log_line>& lines, const log_line& answered)
    {
        const std::string reason = answered.field("reason");
        const log_line* began = lastOf(lines, "attempt-began");
        const log_line* ended = lastOf(lines, "attempt-ended");
        if (reason == "upstream" && ended != nullptr)
            return absl::StrCat(
                ended->field("end") == "refused" ? "rejected without execution by upstream " : "answered by upstream ",
                ended->field("upstream"), " with status ", answered.field("status"));
        if (reason == "overloaded")
            return "no upstream was expected to finish it in time";
        if (reason == "no-upstream")
            return began == nullptr
                ? "no available upstream of the service was known"
                : absl::StrCat(describeAttempt(*began), " could not be reached, and no other upstream was available");
        if (reason == "deadline-exceeded")
            return causeOfTimeout(answered, began);
        if (reason == "connection-lost" && ended != nullptr)
            return absl::StrCat("the connection to upstream ", ended->field("upstream"), " was lost after ",
                ended->field("took_ms"), " ms (", ended->field("failure"), "), and the request may have run");
        if (reason == "crashing-request")
            return "equal requests have crashed upstreams";
        return absl::StrCat("answered by the VM itself: ", reason);
    }

    std::string causeOf(const std::vector<log_line>& lines)
    {
        if (lines.empty())
            return "no line names the request: it did not reach a VM whose log was read, or its lines were dropped "
                   "from the log";
        if (const log_line* refused = lastOf(lines, "request-refused"))
            return absl::StrCat(
                "refused at once with status ", refused->field("status"), ": ", refused->field("reason"));
        if (lastOf(lines, "caller-left") != nullptr)
            return "the caller disconnected before the answer";
        if (const log_line* answered = lastOf(lines, "request-answered"))
            return causeOfAnswer(lines, *answered);
        return absl::StrCat("VM ", lines.back().vm,
            " received it and logged no answer: the process ended, or the request is still in progress");
    }

} // namespace

request_explanation explainRequest(std::vector<log_line> lines, const std::string& name)
{
    std::sort(lines.begin(), lines.end(), isEarlier);
    std::vector<log_line> requestLines;
    for (const log_line& line : lines) {
        if (line.field("request") == name)
            requestLines.push_back(line);
    }
    request_explanation explained;
    explained.cause = causeOf(requestLines);
    explained.lines = requestLines;
    for (const log_line& line : requestLines)
        addPrecedingState(explained.lines, lines, line);
    std::sort(explained.lines.begin(), explained.lines.end(), isEarlier);
    const auto same = [](const log_line& left, const log_line& right) { return left.position == right.position; };
    explained.lines.erase(std::unique(explained.lines.begin(), explained.lines.end(), same), explained.lines.end());
    return explained;
}

} // namespace plantainlatch
