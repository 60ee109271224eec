#include "services/buffer_budget.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace plantainlatch {

namespace {

    constexpr byte_count defaultMemory { 1024ULL * 1024 * 1024 };
    /** What a process uses without any load, 14 to 15 MB, with a margin. */
    constexpr std::uint64_t ownMemory = 20'000'000;
    /** Below this limit the shares would be useless, so they are taken as if the limit were this. */
    constexpr std::uint64_t minimumMemory = 2 * ownMemory;
    /** Shares of the memory that the process doesn't use itself, in eighths; the rest is for answers of upstreams and
     * messages between VMs. With six eighths, a body of 64 MiB fits into a VM of 112 MB. */
    constexpr std::uint64_t shares = 8;
    constexpr std::uint64_t largeShares = 6;
    constexpr std::uint64_t smallShares = 1;
    /** Large bodies arrive in many parts; a pause of this length occurs only on links with losses. */
    constexpr duration largeStallTime = std::chrono::seconds(1);
    constexpr duration logInterval = std::chrono::seconds(10);

} // namespace

buffer_budget_limits bufferLimitsFor(std::optional<byte_count> memoryLimit)
{
    const std::uint64_t memory = std::max(memoryLimit.value_or(defaultMemory).value(), minimumMemory);
    const std::uint64_t share = (memory - ownMemory) / shares;
    return { byte_count(share * largeShares), byte_count(share * smallShares) };
}

buffer_budget::buffer_budget(kernel_hooks hooks, buffer_budget_limits limits)
    : m_hooks(std::move(hooks))
    , m_large { limits.large.value(), largeStallTime }
    , m_small { limits.small.value(), duration::zero() }
    , m_lines(1, logInterval)
{
}

buffer_budget::~buffer_budget() = default;

service buffer_budget::asService()
{
    service item;
    item.name = "buffer_budget";
    item.start = [](registry&) { return absl::OkStatus(); };
    item.dump = [this] { return dump(); };
    return item;
}

state_dump buffer_budget::dump() const
{
    state_dump dump;
    dump.add("held_bytes", static_cast<std::uint64_t>(held()));
    dump.add("peak_bytes", static_cast<std::uint64_t>(m_peak));
    dump.add("large_bytes", static_cast<std::uint64_t>(m_large.held));
    dump.add("large_limit_bytes", static_cast<std::uint64_t>(m_large.limit));
    dump.add("small_bytes", static_cast<std::uint64_t>(m_small.held));
    dump.add("small_limit_bytes", static_cast<std::uint64_t>(m_small.limit));
    dump.add("refused", m_refused);
    dump.add("closed", m_reclaimed);
    return dump;
}

bool buffer_budget::resize(holding_list::iterator item, std::size_t bytes)
{
    if (bytes <= item->bytes) {
        place(item, *item->from, bytes);
        return true;
    }
    const bool isSmall = bytes <= maximumSmall;
    const auto growthIn = [&](const pool& from) { return &from == item->from ? bytes - item->bytes : bytes; };
    pool* chosen = nullptr;
    if (isSmall && hasRoom(m_small, growthIn(m_small)))
        chosen = &m_small;
    else if (hasRoom(m_large, growthIn(m_large)))
        chosen = &m_large;
    else if (pool& own = isSmall ? m_small : m_large; makeRoom(own, growthIn(own), item))
        chosen = &own;
    if (chosen == nullptr) {
        ++m_refused;
        logLimit("there is no memory for a request or answer", bytes);
        return false;
    }
    place(item, *chosen, bytes);
    return true;
}

bool buffer_budget::makeRoom(pool& from, std::size_t bytes, holding_list::const_iterator besides)
{
    const time_point latest = m_hooks.now() - from.stallTime;
    const auto mayEnd = [&](const holding& item) { return &item != &*besides && item.lastProgress <= latest; };
    std::size_t available = from.limit - std::min(from.limit, from.held);
    for (auto item = from.reclaimable.begin(); available < bytes && item != from.reclaimable.end(); ++item) {
        if (item->lastProgress > latest)
            break;
        available += mayEnd(*item) ? item->bytes : 0;
    }
    if (available < bytes)
        return false;
    while (!hasRoom(from, bytes)) {
        const auto found = std::find_if(from.reclaimable.begin(), from.reclaimable.end(), mayEnd);
        if (found == from.reclaimable.end())
            return false;
        ++m_reclaimed;
        logLimit("a request or answer without progress was given up", found->bytes);
        // Not reclaimable any more, so that a holder which keeps its bytes does not stall this loop.
        setReclaimable(found, false);
        const std::function<void()> reclaim = *found->reclaim;
        reclaim();
    }
    return true;
}

void buffer_budget::place(holding_list::iterator item, pool& to, std::size_t bytes)
{
    pool* former = item->from;
    if (former != nullptr)
        former->held -= item->bytes;
    to.held += bytes;
    item->bytes = bytes;
    item->from = &to;
    if (item->reclaimable && former != &to) {
        item->lastProgress = m_hooks.now();
        to.reclaimable.splice(to.reclaimable.end(), former->reclaimable, item);
    }
    m_peak = std::max(m_peak, held());
}

void buffer_budget::setReclaimable(holding_list::iterator item, bool reclaimable)
{
    if (item->reclaimable == reclaimable)
        return;
    item->reclaimable = reclaimable;
    item->lastProgress = m_hooks.now();
    if (reclaimable)
        item->from->reclaimable.splice(item->from->reclaimable.end(), m_fixed, item);
    else
        m_fixed.splice(m_fixed.end(), item->from->reclaimable, item);
}

void buffer_budget::recordProgress(holding_list::iterator item)
{
    item->lastProgress = m_hooks.now();
    if (item->reclaimable)
        item->from->reclaimable.splice(item->from->reclaimable.end(), item->from->reclaimable, item);
}

void buffer_budget::logLimit(const char* what, std::size_t bytes)
{
    const line_limiter::verdict verdict = m_lines.check(what, m_hooks.now());
    if (!verdict.passes)
        return;
    m_hooks.log({ log_level::Warning, "buffer_budget", what,
        { { "bytes", absl::StrCat(bytes) }, { "held", absl::StrCat(held()) }, { "large", absl::StrCat(m_large.held) },
            { "suppressed", absl::StrCat(verdict.suppressed) } } });
}

buffer_lease::buffer_lease(buffer_budget& budget, std::function<void()> reclaim)
    : m_budget(budget)
    , m_reclaim(std::move(reclaim))
{
}

bool buffer_lease::resize(std::size_t bytes, bool reclaimable)
{
    if (bytes == 0) {
        release();
        return true;
    }
    const bool isNew = m_bytes == 0;
    if (isNew) {
        m_budget.m_fixed.push_back({ &m_reclaim });
        m_item = std::prev(m_budget.m_fixed.end());
    }
    if (!m_budget.resize(m_item, bytes)) {
        if (isNew)
            m_budget.m_fixed.erase(m_item);
        return false;
    }
    m_bytes = bytes;
    m_budget.setReclaimable(m_item, reclaimable);
    return true;
}

void buffer_lease::recordProgress()
{
    if (m_bytes != 0)
        m_budget.recordProgress(m_item);
}

void buffer_lease::keep()
{
    if (m_bytes != 0)
        m_budget.setReclaimable(m_item, false);
}

void buffer_lease::release()
{
    if (std::exchange(m_bytes, 0) == 0)
        return;
    m_item->from->held -= m_item->bytes;
    buffer_budget::holding_list& list = m_item->reclaimable ? m_item->from->reclaimable : m_budget.m_fixed;
    list.erase(m_item);
}

} // namespace plantainlatch
