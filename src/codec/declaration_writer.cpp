#include "codec/declaration_writer.h"

#include <yaml-cpp/yaml.h>

#include "absl/strings/str_cat.h"

namespace plantainlatch {

namespace {

    /** Which fields of a definition are written; a withdrawn definition has only its key fields. */
    enum class detail_level {
        KeyOnly,
        Full,
    };

    std::string durationText(duration span)
    {
        const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(span).count();
        if (micros % 1000000 == 0)
            return absl::StrCat(micros / 1000000, "s");
        return micros % 1000 == 0 ? absl::StrCat(micros / 1000, "ms") : absl::StrCat(micros, "us");
    }

    /** Emits a map in YAML's flow style: the constructor begins the map, and the destructor ends it. */
    class map_writer {
    public:
        explicit map_writer(YAML::Emitter& out)
            : m_out(out)
        {
            m_out << YAML::Flow << YAML::BeginMap;
        }
        ~map_writer() { m_out << YAML::EndMap; }
        map_writer(const map_writer&) = delete;
        map_writer& operator=(const map_writer&) = delete;

        template <typename Value> map_writer& add(const char* key, const Value& value)
        {
            m_out << YAML::Key << key << YAML::Value << value;
            return *this;
        }

    private:
        YAML::Emitter& m_out;
    };

    template <typename Names> std::vector<std::string> textsOf(const Names& names)
    {
        std::vector<std::string> texts;
        texts.reserve(names.size());
        for (const auto& name : names)
            texts.push_back(name.value());
        return texts;
    }

    void write(YAML::Emitter& out, const region_definition& item, detail_level detail)
    {
        map_writer map(out);
        map.add("id", item.id.value());
        if (detail == detail_level::Full)
            map.add("failure_domains", textsOf(item.failureDomains));
    }

    void write(YAML::Emitter& out, const link_definition& item, detail_level detail)
    {
        map_writer map(out);
        map.add("between", std::vector<std::string> { item.left.value(), item.right.value() });
        if (detail == detail_level::Full)
            map.add("budget", absl::StrCat(item.budget.value(), "B/s"));
    }

    void writeRoutes(YAML::Emitter& out, const std::vector<route_rule>& routes)
    {
        out << YAML::Key << "routes" << YAML::Value << YAML::BeginSeq;
        for (const route_rule& rule : routes)
            map_writer(out).add("method", rule.method).add("path", rule.pathPrefix).add("idempotent", rule.idempotent);
        out << YAML::EndSeq;
    }

    void write(YAML::Emitter& out, const service_definition& item, detail_level detail)
    {
        map_writer map(out);
        map.add("id", item.id.value());
        if (detail == detail_level::KeyOnly)
            return;
        map.add("slots", item.slots.value()).add("connections", item.connections);
        map.add("default_deadline", durationText(item.defaultDeadline));
        map.add("maximum_deadline", durationText(item.maximumDeadline));
        map.add("maximum_body", absl::StrCat(item.maximumBody.value(), "B"));
        map.add("key_retention", durationText(item.keyRetention));
        if (!item.routes.empty())
            writeRoutes(out, item.routes);
    }

    void write(YAML::Emitter& out, const share_definition& item, detail_level detail)
    {
        map_writer map(out);
        map.add("service", item.service.value()).add("failure_domain", item.failureDomain.value());
        if (detail == detail_level::Full)
            map.add("weight", item.weight);
    }

    void write(YAML::Emitter& out, const upstream_definition& item, detail_level detail)
    {
        map_writer map(out);
        map.add("id", item.id.value());
        if (detail == detail_level::KeyOnly)
            return;
        map.add("service", item.service.value()).add("failure_domain", item.failureDomain.value());
        if (item.slots.has_value())
            map.add("slots", item.slots->value());
    }

    void write(YAML::Emitter& out, const shift_definition& item, detail_level detail)
    {
        map_writer map(out);
        map.add("id", item.id.value());
        if (detail == detail_level::KeyOnly)
            return;
        map.add("service", item.service.value()).add("from", item.from.value()).add("to", item.to.value());
        map.add("percent", item.percent).add("cap_per_second", item.capPerSecond);
        map.add("step_percent", item.stepPercent).add("step_interval", durationText(item.stepInterval));
    }

    template <typename Definition>
    void writeList(
        YAML::Emitter& out, const char* key, const std::vector<declared<Definition>>& items, detail_level detail)
    {
        if (items.empty())
            return;
        out << YAML::Key << key << YAML::Value << YAML::BeginSeq;
        for (const auto& item : items)
            write(out, item.value, detail);
        out << YAML::EndSeq;
    }

    template <typename Definition>
    void writeKind(YAML::Emitter& out, const char* key, const definition_changes<Definition>& changes)
    {
        if (changes.empty())
            return;
        out << YAML::Key << key << YAML::Value << YAML::BeginMap;
        writeList(out, "add", changes.added, detail_level::Full);
        writeList(out, "change", changes.changed, detail_level::Full);
        writeList(out, "withdraw", changes.withdrawn, detail_level::KeyOnly);
        out << YAML::EndMap;
    }

    void writeRisks(YAML::Emitter& out, const std::vector<accepted_risk>& risks)
    {
        if (risks.empty())
            return;
        out << YAML::Key << "accept_risks" << YAML::Value << YAML::Flow << YAML::BeginSeq;
        for (const accepted_risk risk : risks)
            out << (risk == accepted_risk::RegionOverload ? "region-overload" : "no-upstream");
        out << YAML::EndSeq;
    }

} // namespace

std::string writeDeclaration(const declaration& content)
{
    YAML::Emitter out;
    out << YAML::BeginMap;
    out << YAML::Key << "number" << YAML::Value << content.number.value();
    out << YAML::Key << "replaces" << YAML::Value << content.replaces.value();
    if (!content.note.empty())
        out << YAML::Key << "note" << YAML::Value << content.note;
    writeRisks(out, content.acceptedRisks);
    writeKind(out, "regions", content.regions);
    writeKind(out, "links", content.links);
    writeKind(out, "services", content.services);
    writeKind(out, "shares", content.shares);
    writeKind(out, "upstreams", content.upstreams);
    writeKind(out, "shifts", content.shifts);
    out << YAML::EndMap;
    return std::string(out.c_str()) + "\n";
}

} // namespace plantainlatch
