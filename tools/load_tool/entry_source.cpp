#include "load_tool/entry_source.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "core/internal_assert.h"

namespace plantainlatch {

namespace {

    constexpr duration lookupTimeout = std::chrono::seconds(1);
    constexpr duration retryDelay = std::chrono::milliseconds(100);
    constexpr duration avoidTime = std::chrono::seconds(1);
    constexpr duration minimumCacheTime = std::chrono::milliseconds(50);
    constexpr std::uint32_t connectionLimit = 4096;
    constexpr std::uint32_t defaultCacheMilliseconds = 1000;
    constexpr int statusOk = 200;

    std::string textOf(const nlohmann::json& json, const char* name)
    {
        const bool isPresent = json.is_object() && json.contains(name) && json[name].is_string();
        return isPresent ? json[name].get<std::string>() : "";
    }

    std::uint32_t numberOf(const nlohmann::json& json, const char* name, std::uint32_t defaultValue)
    {
        const bool isPresent = json.is_object() && json.contains(name) && json[name].is_number_unsigned();
        return isPresent ? json[name].get<std::uint32_t>() : defaultValue;
    }

} // namespace

entry_source::entry_source(const kernel_hooks& hooks, upstream_port& client, std::vector<network_address> bootstrap,
    std::string near, std::function<call_id()> nextCall)
    : m_hooks(hooks)
    , m_client(client)
    , m_bootstrap(std::move(bootstrap))
    , m_near(std::move(near))
    , m_nextCall(std::move(nextCall))
{
}

void entry_source::start(std::function<void()> onFirstList)
{
    m_onFirstList = std::move(onFirstList);
    lookUp();
}

void entry_source::stop()
{
    m_stopped = true;
    m_hooks.cancel(m_timer);
}

network_address entry_source::nextLookupAddress()
{
    for (const entry& item : m_entries) {
        if (item.avoidUntil <= m_hooks.now())
            return item.address;
    }
    return m_bootstrap[m_nextBootstrap++ % m_bootstrap.size()];
}

void entry_source::lookUp()
{
    if (m_lookupPending || m_stopped)
        return;
    m_lookupPending = true;
    ++m_lookups;
    upstream_call call;
    call.id = m_nextCall();
    call.address = nextLookupAddress();
    call.method = "GET";
    call.target = m_near.empty() ? "/v1/entries" : absl::StrCat("/v1/entries?near=", m_near);
    call.timeout = lookupTimeout;
    call.connectionLimit = connectionLimit;
    call_events events;
    const network_address lookupAddress = call.address;
    events.onAnswer = [this](const upstream_answer& answer) { handleAnswer(answer); };
    events.onFailure = [this, lookupAddress](call_failure) { handleLookupFailure(lookupAddress); };
    m_client.start(std::move(call), std::move(events));
}

void entry_source::handleAnswer(const upstream_answer& answer)
{
    m_lookupPending = false;
    const nlohmann::json json = nlohmann::json::parse(answer.body, nullptr, false);
    std::vector<entry> entries;
    if (answer.status == statusOk && json.is_object() && json.contains("entries")) {
        for (const nlohmann::json& item : json["entries"]) {
            const auto address = parseAddress(textOf(item, "address"));
            if (address.ok())
                entries.push_back({ *address, numberOf(item, "weight", 1), {} });
        }
    }
    if (entries.empty()) {
        ++m_failedLookups;
        lookUpAfter(retryDelay);
        return;
    }
    for (entry& item : entries) {
        if (const entry* known = find(item.address))
            item.avoidUntil = known->avoidUntil;
    }
    m_entries = std::move(entries);
    lookUpAfter(std::max(
        duration(std::chrono::milliseconds(numberOf(json, "cache_ms", defaultCacheMilliseconds))), minimumCacheTime));
    if (m_onFirstList)
        std::exchange(m_onFirstList, nullptr)();
}

void entry_source::handleLookupFailure(const network_address& lookupAddress)
{
    m_lookupPending = false;
    ++m_failedLookups;
    if (entry* item = find(lookupAddress))
        item->avoidUntil = m_hooks.now() + avoidTime;
    lookUpAfter(retryDelay);
}

void entry_source::lookUpAfter(duration delay)
{
    m_hooks.cancel(m_timer);
    m_timer = m_hooks.schedule(delay, [this] { lookUp(); });
}

entry_source::entry* entry_source::find(const network_address& address)
{
    const auto found
        = std::find_if(m_entries.begin(), m_entries.end(), [&](const entry& item) { return item.address == address; });
    return found != m_entries.end() ? &*found : nullptr;
}

std::size_t entry_source::pickByWeight()
{
    std::uint64_t sum = 0;
    for (const entry& item : m_entries)
        sum += item.weight;
    if (sum == 0)
        return 0;
    std::uint64_t left = m_hooks.random() % sum;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        if (left < m_entries[i].weight)
            return i;
        left -= m_entries[i].weight;
    }
    return 0;
}

network_address entry_source::pick(std::uint32_t tryNumber, const network_address& lastTried)
{
    internal_assert(!m_entries.empty()) << "no list of entries yet";
    std::size_t start = pickByWeight();
    if (tryNumber > 0) {
        if (const entry* last = find(lastTried))
            start = static_cast<std::size_t>(last - m_entries.data()) + 1;
    }
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        const entry& item = m_entries[(start + i) % m_entries.size()];
        if (item.avoidUntil <= m_hooks.now())
            return item.address;
    }
    return m_entries[start % m_entries.size()].address;
}

void entry_source::reportFailure(const network_address& address)
{
    if (entry* item = find(address))
        item->avoidUntil = m_hooks.now() + avoidTime;
    lookUp();
}

} // namespace plantainlatch
