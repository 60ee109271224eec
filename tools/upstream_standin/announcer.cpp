#include "upstream_standin/announcer.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

namespace plantainlatch {

namespace {

    constexpr duration callTimeout = std::chrono::seconds(2);
    constexpr duration retryDelay = std::chrono::milliseconds(200);
    constexpr duration minimumRenewal = std::chrono::milliseconds(20);
    constexpr std::uint32_t connectionLimit = 1024;
    constexpr int firstNonSuccess = 300;

    std::string toJson(const upstream_announcement& content)
    {
        const nlohmann::json json { { "id", content.id.value() }, { "generation", content.generation.value() },
            { "service", content.service.value() }, { "address", formatAddress(content.address) },
            { "region", content.region.value() }, { "failure_domain", content.failureDomain.value() },
            { "slots", content.slots.value() }, { "connections", content.connections } };
        return json.dump();
    }

    /** Returns the renewal interval in an answer; 0 if it contains none. */
    duration renewalOf(const std::string& body)
    {
        const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
        if (!json.is_object() || !json.contains("renew_after_ms") || !json["renew_after_ms"].is_number_unsigned())
            return {};
        return std::chrono::milliseconds(json["renew_after_ms"].get<std::uint32_t>());
    }

} // namespace

announcer::announcer(const kernel_hooks& hooks, upstream_port& client, std::vector<network_address> entries,
    upstream_announcement content, std::function<call_id()> nextCall)
    : m_hooks(hooks)
    , m_client(client)
    , m_entries(std::move(entries))
    , m_content(std::move(content))
    , m_nextCall(std::move(nextCall))
    , m_entryIndex(m_entries.empty() ? 0 : m_hooks.random() % m_entries.size())
{
}

void announcer::start()
{
    if (!m_entries.empty())
        announce();
}

void announcer::announce()
{
    if (m_leaving)
        return;
    call_events events;
    events.onAnswer = [this](const upstream_answer& answer) { handleAnswer(answer); };
    events.onFailure = [this](call_failure) { handleFailure(); };
    m_client.start(makeCall("POST", "/v1/upstreams", toJson(m_content)), std::move(events));
}

void announcer::handleAnswer(const upstream_answer& answer)
{
    const duration renewal = renewalOf(answer.body);
    if (answer.status >= firstNonSuccess || renewal == duration::zero()) {
        m_hooks.log({ log_level::Warning, "announcer", "announcement refused",
            { { "upstream", m_content.id.value() }, { "status", absl::StrCat(answer.status) },
                { "body", answer.body } } });
        handleFailure();
        return;
    }
    m_renewal = m_hooks.schedule(std::max(renewal, minimumRenewal), [this] { announce(); });
}

void announcer::handleFailure()
{
    m_entryIndex = (m_entryIndex + 1) % m_entries.size();
    m_renewal = m_hooks.schedule(retryDelay, [this] { announce(); });
}

void announcer::leave(std::function<void()> done)
{
    m_leaving = true;
    m_hooks.cancel(m_renewal);
    deregister(m_entries.size(), std::move(done));
}

void announcer::deregister(std::size_t triesLeft, std::function<void()> done)
{
    if (triesLeft == 0) {
        done();
        return;
    }
    const auto tryNext = [this, triesLeft, done] {
        m_entryIndex = (m_entryIndex + 1) % m_entries.size();
        deregister(triesLeft - 1, done);
    };
    call_events events;
    events.onAnswer = [done, tryNext](const upstream_answer& answer) {
        if (answer.status < firstNonSuccess)
            done();
        else
            tryNext();
    };
    events.onFailure = [tryNext](call_failure) { tryNext(); };
    const std::string target
        = absl::StrCat("/v1/upstreams/", m_content.id.value(), "?generation=", m_content.generation.value());
    m_client.start(makeCall("DELETE", target, ""), std::move(events));
}

upstream_call announcer::makeCall(const std::string& method, const std::string& target, const std::string& body)
{
    upstream_call call;
    call.id = m_nextCall();
    call.address = m_entries[m_entryIndex];
    call.method = method;
    call.target = target;
    call.body = body;
    if (!body.empty())
        call.headers.push_back({ "Content-Type", "application/json" });
    call.timeout = callTimeout;
    call.connectionLimit = connectionLimit;
    return call;
}

} // namespace plantainlatch
