#include "services/buffer_budget.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "absl/strings/str_cat.h"

namespace plantainlatch {

namespace {

    /** Large bodies arrive in many parts; a pause of this length occurs only on links with losses. */
    constexpr duration largeStallTime = std::chrono::seconds(1);
    constexpr duration logInterval = std::chrono::seconds(10);
    /** A holding with less progress than this counts as stopped; otherwise, one byte now and then would be enough to
     * keep the memory. */
    constexpr std::size_t leastProgress = 1024;
    /** The part of the room for small holdings that input behind requests may use. */
    constexpr std::size_t pipelineDivisor = 4;

    std::size_t growthIn(const buffer_room& room, const buffer_holding& item, std::size_t bytes)
    {
        return &room == item.room ? bytes - item.bytes : bytes;
    }

    bool hasRoomFor(const buffer_room& room, const buffer_holding& item, std::size_t bytes)
    {
        return room.hasRoom(growthIn(room, item, bytes));
    }

} // namespace

std::unique_ptr<buffer_budget> buffer_budget::createFor(
    const kernel_hooks& hooks, std::optional<byte_count> memoryLimit, const caller_limits& limits)
{
    if (const std::optional<log_event> warning = checkMemory(memoryLimit, limits))
        hooks.log(*warning);
    return std::make_unique<buffer_budget>(hooks, bufferLimitsFor(memoryLimit));
}

buffer_budget::buffer_budget(kernel_hooks hooks, buffer_budget_limits limits)
    : m_hooks(std::move(hooks))
    , m_large(limits.large.value(), largeStallTime)
    , m_small(limits.small.value(), duration::zero())
    , m_answer(limits.answer.value(), largeStallTime)
    , m_peers(limits.peers.value(), largeStallTime)
    , m_connections(limits.connections.value(), largeStallTime)
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

std::size_t buffer_budget::held() const { return m_large.held() + m_small.held() + m_answer.held() + m_peers.held(); }

std::uint64_t buffer_budget::refused() const
{
    return std::accumulate(m_uses.begin(), m_uses.end(), std::uint64_t { 0 },
        [](std::uint64_t sum, const use_counters& use) { return sum + use.refused; });
}

std::uint64_t buffer_budget::reclaimed() const
{
    return std::accumulate(m_uses.begin(), m_uses.end(), std::uint64_t { 0 },
        [](std::uint64_t sum, const use_counters& use) { return sum + use.reclaimed; });
}

state_dump buffer_budget::dump() const
{
    state_dump dump;
    dump.add("held_bytes", static_cast<std::uint64_t>(held()));
    dump.add("peak_bytes", static_cast<std::uint64_t>(m_peak));
    dump.add("large_bytes", static_cast<std::uint64_t>(m_large.held()));
    dump.add("large_limit_bytes", static_cast<std::uint64_t>(m_large.limit()));
    dump.add("small_bytes", static_cast<std::uint64_t>(m_small.held()));
    dump.add("small_limit_bytes", static_cast<std::uint64_t>(m_small.limit()));
    dump.add("answer_bytes", static_cast<std::uint64_t>(m_answer.held()));
    dump.add("answer_limit_bytes", static_cast<std::uint64_t>(m_answer.limit()));
    dump.add("peer_bytes", static_cast<std::uint64_t>(m_peers.held()));
    dump.add("peer_limit_bytes", static_cast<std::uint64_t>(m_peers.limit()));
    dump.add("connection_bytes", static_cast<std::uint64_t>(m_connections.held()));
    dump.add("connection_limit_bytes", static_cast<std::uint64_t>(m_connections.limit()));
    dump.add("refused", refused());
    dump.add("closed", reclaimed());
    state_dump& uses = dump.addObject("uses");
    for (std::size_t i = 0; i < bufferUseCount; ++i) {
        state_dump& use = uses.addObject(nameOf(static_cast<buffer_use>(i)));
        use.add("bytes", static_cast<std::uint64_t>(m_uses[i].held));
        use.add("refused", m_uses[i].refused);
        use.add("closed", m_uses[i].reclaimed);
    }
    return dump;
}

bool buffer_budget::resize(holding_list::iterator item, std::size_t bytes)
{
    if (bytes <= item->bytes) {
        place(item, *item->room, bytes);
        return true;
    }
    buffer_room* const room = findRoom(*item, bytes);
    if (room == nullptr) {
        ++countersOf(item->use).refused;
        logLimit("there is no memory for a request or answer", item->use, bytes);
        return false;
    }
    place(item, *room, bytes);
    return true;
}

buffer_room* buffer_budget::findRoom(const buffer_holding& item, std::size_t bytes)
{
    if (item.use == buffer_use::Connections)
        return hasRoomFor(m_connections, item, bytes) ? &m_connections : nullptr;
    if (item.use == buffer_use::PeerInput || item.use == buffer_use::PeerOutput)
        return findPeerRoom(item, bytes);
    if (item.use == buffer_use::PipelinedInput)
        return findPipelineRoom(item, bytes);
    const bool isSmall = bytes <= maximumSmall;
    if (isSmall && hasRoomFor(m_small, item, bytes))
        return &m_small;
    if (hasRoomFor(m_large, item, bytes))
        return &m_large;
    buffer_room& own = isSmall ? m_small : m_large;
    if (makeRoom(own, item, growthIn(own, item, bytes)))
        return &own;
    if (item.use == buffer_use::UpstreamAnswer && hasRoomFor(m_answer, item, bytes))
        return &m_answer;
    return nullptr;
}

buffer_room* buffer_budget::findPeerRoom(const buffer_holding& item, std::size_t bytes)
{
    // A single message may be larger than the room: without it, a VM could never get a large state.
    const bool isAlone = m_peers.held() == item.bytes;
    return isAlone || hasRoomFor(m_peers, item, bytes) ? &m_peers : nullptr;
}

buffer_room* buffer_budget::findPipelineRoom(const buffer_holding& item, std::size_t bytes)
{
    const std::size_t held = countersOf(item.use).held - item.bytes + bytes;
    const bool isInShare = held <= m_small.limit() / pipelineDivisor;
    return isInShare && hasRoomFor(m_small, item, bytes) ? &m_small : nullptr;
}

bool buffer_budget::makeRoom(buffer_room& room, const buffer_holding& item, std::size_t bytes)
{
    const time_point now = m_hooks.now();
    if (!room.canMakeRoom(item, bytes, now))
        return false;
    while (!room.hasRoom(bytes)) {
        const auto found = room.nextToReclaim(item, bytes, now);
        if (found == room.reclaimable().end())
            return false;
        ++countersOf(found->use).reclaimed;
        logLimit("a request or answer without progress was given up", found->use, found->bytes);
        // Not reclaimable any more, so that a holder which keeps its bytes does not stall this loop.
        setReclaimable(found, false);
        const std::function<void()> reclaim = *found->reclaim;
        reclaim();
    }
    return true;
}

void buffer_budget::place(holding_list::iterator item, buffer_room& to, std::size_t bytes)
{
    buffer_room* const former = item->room;
    if (former != nullptr)
        former->remove(item->owner, item->bytes);
    to.add(item->owner, bytes);
    countersOf(item->use).held += bytes - item->bytes;
    item->bytes = bytes;
    item->room = &to;
    if (item->reclaimable && former != &to) {
        item->lastProgress = m_hooks.now();
        item->lastStep = item->lastProgress;
        to.reclaimable().splice(to.reclaimable().end(), former->reclaimable(), item);
    }
    m_peak = std::max(m_peak, held());
}

void buffer_budget::setReclaimable(holding_list::iterator item, bool reclaimable)
{
    if (item->reclaimable == reclaimable)
        return;
    item->reclaimable = reclaimable;
    item->lastProgress = m_hooks.now();
    item->lastStep = item->lastProgress;
    holding_list& list = item->room->reclaimable();
    if (reclaimable)
        list.splice(list.end(), m_fixed, item);
    else
        m_fixed.splice(m_fixed.end(), list, item);
}

void buffer_budget::recordProgress(holding_list::iterator item, std::size_t bytes)
{
    item->bytesSinceProgress += bytes;
    item->bytesSinceStep += bytes;
    if (item->bytesSinceProgress < leastProgress)
        return;
    item->bytesSinceProgress = 0;
    item->lastProgress = m_hooks.now();
    if (item->bytesSinceStep >= buffer_lease::progressStep) {
        item->bytesSinceStep = 0;
        item->lastStep = item->lastProgress;
    }
    holding_list& list = item->reclaimable ? item->room->reclaimable() : m_fixed;
    list.splice(list.end(), list, item);
}

void buffer_budget::remove(holding_list::iterator item)
{
    item->room->remove(item->owner, item->bytes);
    countersOf(item->use).held -= item->bytes;
    holding_list& list = item->reclaimable ? item->room->reclaimable() : m_fixed;
    list.erase(item);
}

void buffer_budget::logLimit(const char* what, buffer_use use, std::size_t bytes)
{
    const line_limiter::verdict verdict = m_lines.check(what, m_hooks.now());
    if (!verdict.passes)
        return;
    m_hooks.log({ log_level::Warning, "buffer_budget", what,
        { { "use", nameOf(use) }, { "bytes", absl::StrCat(bytes) }, { "held", absl::StrCat(held()) },
            { "large", absl::StrCat(m_large.held()) }, { "suppressed", absl::StrCat(verdict.suppressed) } } });
}

given_or_own_budget::given_or_own_budget(const kernel_hooks& hooks, buffer_budget* given)
    : m_own(given == nullptr ? std::make_unique<buffer_budget>(hooks, bufferLimitsFor(std::nullopt)) : nullptr)
    , m_budget(m_own != nullptr ? *m_own : *given)
{
}

buffer_lease::buffer_lease(buffer_budget& budget, buffer_use use, std::function<void()> reclaim, buffer_owner owner)
    : m_budget(budget)
    , m_use(use)
    , m_reclaim(std::move(reclaim))
    , m_owner(owner)
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
        m_budget.m_fixed.push_back({ m_use, m_owner, &m_reclaim });
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

void buffer_lease::recordProgress(std::size_t bytes)
{
    if (m_bytes != 0)
        m_budget.recordProgress(m_item, bytes);
}

void buffer_lease::keep()
{
    if (m_bytes != 0)
        m_budget.setReclaimable(m_item, false);
}

void buffer_lease::release()
{
    if (std::exchange(m_bytes, 0) != 0)
        m_budget.remove(m_item);
}

} // namespace plantainlatch
