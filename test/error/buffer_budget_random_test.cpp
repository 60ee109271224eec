#include <array>
#include <memory>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "services/buffer_budget.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t kibibyte = 1024;
    constexpr std::size_t holders = 12;
    const buffer_budget_limits limits { byte_count(1024 * kibibyte), byte_count(256 * kibibyte),
        byte_count(128 * kibibyte), byte_count(256 * kibibyte), byte_count(64 * kibibyte) };

    /** What one lease should hold, and since when it may be reclaimed. */
    struct model_holding {
        std::unique_ptr<buffer_lease> lease;
        buffer_use use = buffer_use::Request;
        std::size_t bytes = 0;
        bool reclaimable = false;
        std::size_t bytesSinceStep = 0;
        time_point lastStep {};
    };

    /** Applies random operations to a budget and to a plain model of it, and compares them after each one. */
    class budget_model {
    public:
        budget_model()
        {
            m_hooks.now = [this] { return m_now; };
            m_hooks.log = [](const log_event&) {};
            m_budget = std::make_unique<buffer_budget>(m_hooks, limits);
            for (std::size_t i = 0; i < holders; ++i) {
                model_holding& item = m_items[i];
                item.use = static_cast<buffer_use>(i % bufferUseCount);
                item.lease = std::make_unique<buffer_lease>(
                    *m_budget, item.use, [this, i] { reclaim(i); }, buffer_owner(i % 3));
            }
        }

        void step()
        {
            const auto number = *rc::gen::inRange<std::size_t>(0, holders);
            switch (*rc::gen::inRange(0, 8)) {
            case 0:
            case 1:
            case 2:
                resize(number, *rc::gen::inRange<std::size_t>(0, 700 * kibibyte));
                break;
            case 3:
                resize(number, *rc::gen::inRange<std::size_t>(0, 4 * kibibyte));
                break;
            case 4:
                recordProgress(number, *rc::gen::inRange<std::size_t>(0, 20 * kibibyte));
                break;
            case 5:
                m_items[number].lease->keep();
                m_items[number].reclaimable = false;
                break;
            case 6:
                m_items[number].lease->release();
                m_items[number].bytes = 0;
                break;
            default:
                m_now += std::chrono::milliseconds(*rc::gen::inRange(0, 1500));
            }
            compare();
        }

        void releaseAll()
        {
            for (model_holding& item : m_items)
                item.lease.reset();
            RC_ASSERT(m_budget->held() == 0);
            for (std::size_t use = 0; use < bufferUseCount; ++use)
                RC_ASSERT(m_budget->held(static_cast<buffer_use>(use)) == 0);
        }

    private:
        static bool isReclaimedByOthers(buffer_use use)
        {
            return use == buffer_use::Request || use == buffer_use::ParsedBody || use == buffer_use::UpstreamAnswer
                || use == buffer_use::Output;
        }

        void resize(std::size_t number, std::size_t bytes)
        {
            model_holding& item = m_items[number];
            const bool reclaimable = isReclaimedByOthers(item.use) && *rc::gen::inRange(0, 2) == 1;
            m_resizing = number;
            const std::size_t former = item.bytes;
            const bool hadRoom = item.lease->resize(bytes, reclaimable);
            RC_ASSERT(hadRoom || bytes > former);
            RC_ASSERT(item.lease->bytes() == (hadRoom ? bytes : former));
            if (!hadRoom)
                return;
            if (former == 0 || reclaimable != item.reclaimable)
                item.lastStep = m_now;
            item.bytes = bytes;
            item.reclaimable = bytes > 0 && reclaimable;
        }

        void recordProgress(std::size_t number, std::size_t bytes)
        {
            model_holding& item = m_items[number];
            item.lease->recordProgress(bytes);
            if (bytes >= buffer_lease::progressStep)
                item.lastStep = m_now;
        }

        void reclaim(std::size_t number)
        {
            model_holding& item = m_items[number];
            RC_ASSERT(number != m_resizing);
            RC_ASSERT(item.reclaimable);
            RC_ASSERT(item.bytes > 0);
            const bool isLarge = item.bytes > buffer_budget::maximumSmall;
            RC_ASSERT(!isLarge || m_now - item.lastStep >= 1s);
            item.lease->release();
            item.bytes = 0;
            item.reclaimable = false;
        }

        void compare() const
        {
            std::array<std::size_t, bufferUseCount> byUse {};
            std::size_t all = 0;
            for (const model_holding& item : m_items) {
                RC_ASSERT(item.lease->bytes() == item.bytes);
                byUse[static_cast<std::size_t>(item.use)] += item.bytes;
                all += item.use != buffer_use::Connections ? item.bytes : 0;
            }
            for (std::size_t use = 0; use < bufferUseCount; ++use)
                RC_ASSERT(m_budget->held(static_cast<buffer_use>(use)) == byUse[use]);
            RC_ASSERT(m_budget->held() == all);
            RC_ASSERT(m_budget->held(buffer_use::Connections) <= limits.connections.value());
            const std::size_t peers = m_budget->held(buffer_use::PeerInput) + m_budget->held(buffer_use::PeerOutput);
            RC_ASSERT(all - peers <= limits.large.value() + limits.small.value() + limits.answer.value());
        }

        time_point m_now {};
        kernel_hooks m_hooks;
        std::unique_ptr<buffer_budget> m_budget;
        std::array<model_holding, holders> m_items;
        std::size_t m_resizing = 0;
    };

} // namespace

// Guards against a sum that differs from what the leases hold, whatever the order in which they grow, make progress,
// are reclaimed and end.
TEST_CASE("buffer_budget.random_operations.agree_with_a_plain_model")
{
    rc::prop("operations", [] {
        budget_model model;
        const int steps = *rc::gen::inRange(0, 200);
        for (int i = 0; i < steps; ++i)
            model.step();
        model.releaseAll();
    });
}

} // namespace plantainlatch
