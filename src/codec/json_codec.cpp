#include "codec/json_codec.h"

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "core/internal_assert.h"
#include "decision/operators/capacity_model.h"

namespace plantainlatch {

namespace {

    /** Fields keep the order of insertion, so that related ones stay together for human readers. */
    using json = nlohmann::ordered_json;

    std::string serialize(const json& value)
    {
        return value.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
    }

    std::int64_t milliseconds(duration span) { return std::chrono::floor<std::chrono::milliseconds>(span).count(); }

    std::string formatWallTime(wall_time moment)
    {
        const absl::Time time = absl::FromUnixMillis(moment.time_since_epoch().count());
        return absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", time, absl::UTCTimeZone());
    }

    std::string verdictName(command_verdict verdict)
    {
        switch (verdict) {
        case command_verdict::Accepted:
            return "accepted";
        case command_verdict::AlreadyAccepted:
            return "already-accepted";
        case command_verdict::Conflict:
            return "conflict";
        case command_verdict::Refused:
            return "refused";
        }
        internal_assert(false) << "verdict " << static_cast<int>(verdict);
        return {};
    }

    json dumpValue(const state_dump& node)
    {
        if (node.isList) {
            json list = json::array();
            for (const state_dump& child : node.children)
                list.push_back(dumpValue(child));
            return list;
        }
        if (!node.children.empty()) {
            json object = json::object();
            for (const state_dump& child : node.children)
                object[child.name] = dumpValue(child);
            return object;
        }
        return std::visit(
            [](const auto& value) {
                if constexpr (std::is_same_v<std::decay_t<decltype(value)>, std::monostate>)
                    return json(json::object());
                else
                    return json(value);
            },
            node.value);
    }

    json findingsValue(const finding_list& findings)
    {
        json list = json::array();
        for (const finding& item : findings.items()) {
            list.push_back({ { "file", item.position.file }, { "line", item.position.line },
                { "column", item.position.column }, { "what", item.what }, { "expected", item.expected } });
        }
        return list;
    }

} // namespace

std::string encodeRenewalJson(duration renewAfter)
{
    return serialize({ { "renew_after_ms", milliseconds(renewAfter) } });
}

std::string encodeEntryListJson(const entry_list& list)
{
    json entries = json::array();
    for (const weighted_entry& item : list.entries) {
        entries.push_back({ { "vm", item.vm.id.value() }, { "address", formatAddress(item.vm.callerAddress) },
            { "region", item.vm.region.value() }, { "failure_domain", item.vm.failureDomain.value() },
            { "weight", item.weight } });
    }
    return serialize({ { "entries", entries }, { "cache_ms", milliseconds(list.cacheTime) } });
}

std::string encodeStatusJson(const system_status& status)
{
    json alerts = json::array();
    for (const alert& item : status.alerts) {
        alerts.push_back({ { "id", item.id }, { "promise", item.promise }, { "what", item.what },
            { "action", item.action }, { "since", formatWallTime(item.since) } });
    }
    return serialize({ { "answered_by", status.answeredBy.value() }, { "leader", status.leader.value() },
        { "current", status.current }, { "in_force_here", status.inForceHere.value() },
        { "in_force_everywhere", status.inForceEverywhere.value() }, { "alerts", alerts },
        { "details", dumpValue(status.details) } });
}

std::string encodeHistoryJson(const std::vector<history_record>& history)
{
    json list = json::array();
    for (const history_record& item : history) {
        list.push_back({ { "number", item.content.number.value() }, { "replaces", item.content.replaces.value() },
            { "note", item.content.note }, { "accepted_at", formatWallTime(item.acceptedAt) },
            { "accepted_through", item.acceptedThrough.value() } });
    }
    return serialize({ { "history", list } });
}

std::string encodeDeclarationTextJson(const std::string& yaml) { return serialize({ { "declaration", yaml } }); }

std::string encodePlanJson(const declaration_plan& plan)
{
    json risks = json::array();
    for (std::size_t i = 0; i < plan.risks.size(); ++i) {
        risks.push_back({ { "name", riskName(plan.risks[i]) },
            { "text", i < plan.riskTexts.size() ? plan.riskTexts[i] : std::string() } });
    }
    return serialize({ { "changes", plan.changes }, { "risks", risks }, { "findings", findingsValue(plan.findings) } });
}

std::string encodeCommandResultJson(const command_result& result)
{
    return serialize({ { "verdict", verdictName(result.verdict) }, { "message", result.message } });
}

std::string encodeDumpJson(const state_dump& dump) { return serialize(dumpValue(dump)); }

std::string encodeErrorJson(const std::string& message, const finding_list& findings)
{
    return serialize({ { "error", message }, { "findings", findingsValue(findings) } });
}

} // namespace plantainlatch
