#include <algorithm>
#include <memory>
#include <vector>

#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"
#include "services/buffer_budget.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t mebibyte = 1024 * 1024;
    constexpr std::size_t smallSize = 4096;
    constexpr buffer_owner crowd { 1 };
    constexpr buffer_owner rare { 2 };
    constexpr buffer_owner newcomer { 3 };

    /** A budget of 10 MiB for large and 8 KiB for small holdings, and holders that release their lease when asked. */
    class buffer_budget_fixture {
    protected:
        buffer_budget_fixture()
        {
            hooks.now = [this] { return now; };
            hooks.log = [this](const log_event&) { ++lines; };
            budget = std::make_unique<buffer_budget>(
                hooks, buffer_budget_limits { byte_count(10 * mebibyte), byte_count(2 * smallSize) });
        }

        /** Adds a holder, which is numbered from 0. */
        buffer_lease& addHolder(buffer_owner owner = {})
        {
            const std::size_t number = holders.size();
            holders.push_back(std::make_unique<buffer_lease>(
                *budget, buffer_use::Request,
                [this, number] {
                    asked.push_back(number);
                    holders[number]->release();
                },
                owner));
            return *holders.back();
        }

        time_point now {};
        kernel_hooks hooks;
        int lines = 0;
        std::vector<log_event> started;
        std::unique_ptr<buffer_budget> budget;
        std::vector<std::unique_ptr<buffer_lease>> holders;
        std::vector<std::size_t> asked;
    };

} // namespace

TEST_CASE_METHOD(buffer_budget_fixture, "buffer_budget.lease_that_ends.returns_its_bytes")
{
    REQUIRE(addHolder().resize(10 * mebibyte, false));
    REQUIRE_FALSE(addHolder().resize(mebibyte, false));
    REQUIRE(budget->refused() == 1);
    holders.front().reset();
    REQUIRE(budget->held() == 0);
    REQUIRE(holders.back()->resize(mebibyte, false));
    REQUIRE(budget->held() == mebibyte);
}

TEST_CASE_METHOD(buffer_budget_fixture, "buffer_budget.large_holding_without_progress.is_reclaimed_longest_first")
{
    for (int i = 0; i < 3; ++i) {
        REQUIRE(addHolder().resize(3 * mebibyte, true));
        now += 10ms;
    }
    now += 2s;
    holders[0]->recordProgress();
    REQUIRE(addHolder().resize(3 * mebibyte, true));
    REQUIRE(asked == std::vector<std::size_t> { 1 });
    REQUIRE(budget->held() == 9 * mebibyte);
}

TEST_CASE_METHOD(buffer_budget_fixture, "buffer_budget.large_holding_with_progress.is_not_reclaimed")
{
    REQUIRE(addHolder().resize(6 * mebibyte, true));
    REQUIRE_FALSE(addHolder().resize(6 * mebibyte, true));
    REQUIRE(asked.empty());
}

// Requests that are being handled may have run, so that their callers must not be told that they did not.
TEST_CASE_METHOD(buffer_budget_fixture, "buffer_budget.kept_holding.is_not_reclaimed")
{
    REQUIRE(addHolder().resize(6 * mebibyte, true));
    holders.front()->keep();
    now += 60s;
    REQUIRE_FALSE(addHolder().resize(6 * mebibyte, true));
    REQUIRE(asked.empty());
}

// A holding that is given up for one which is refused anyway would serve nobody.
TEST_CASE_METHOD(buffer_budget_fixture, "buffer_budget.reclaiming_that_does_not_suffice.is_not_done")
{
    REQUIRE(addHolder().resize(2 * mebibyte, true));
    REQUIRE(addHolder().resize(6 * mebibyte, false));
    now += 60s;
    REQUIRE_FALSE(addHolder().resize(5 * mebibyte, true));
    REQUIRE(asked.empty());
}

TEST_CASE_METHOD(buffer_budget_fixture, "buffer_budget.small_holding_beside_large_ones.has_room_of_its_own")
{
    REQUIRE(addHolder().resize(10 * mebibyte, false));
    REQUIRE(addHolder().resize(smallSize, true));
    REQUIRE(addHolder().resize(smallSize, true));
    REQUIRE(addHolder().resize(smallSize, true));
    REQUIRE(asked == std::vector<std::size_t> { 1 });
}

TEST_CASE_METHOD(buffer_budget_fixture, "buffer_budget.holding_that_grows.moves_to_the_room_of_large_ones")
{
    buffer_lease& grows = addHolder();
    REQUIRE(grows.resize(smallSize, true));
    REQUIRE(grows.resize(9 * mebibyte, true));
    REQUIRE(addHolder().resize(smallSize, false));
    REQUIRE(addHolder().resize(smallSize, false));
    REQUIRE(asked.empty());
    REQUIRE_FALSE(grows.resize(11 * mebibyte, true));
    REQUIRE(grows.bytes() == 9 * mebibyte);
    REQUIRE(grows.resize(smallSize, true));
    REQUIRE(budget->held() == 3 * smallSize);
}

TEST_CASE_METHOD(buffer_budget_fixture, "buffer_budget.owner_that_holds_most.is_the_first_to_lose")
{
    REQUIRE(addHolder(rare).resize(2 * mebibyte, true));
    REQUIRE(addHolder(crowd).resize(4 * mebibyte, true));
    REQUIRE(addHolder(crowd).resize(4 * mebibyte, true));
    now += 5s;
    REQUIRE(addHolder(newcomer).resize(3 * mebibyte, true));
    REQUIRE(asked == std::vector<std::size_t> { 1 });
}

// Guards against a crowd that takes the memory of a caller whose legal upload is slow but steady.
TEST_CASE_METHOD(buffer_budget_fixture, "buffer_budget.slow_upload_beside_a_crowd.is_kept")
{
    buffer_lease& slow = addHolder(rare);
    REQUIRE(slow.resize(mebibyte, true));
    for (int second = 0; second < 30; ++second) {
        for (int i = 0; i < 10; ++i)
            addHolder(crowd).resize(2 * mebibyte, true);
        for (int i = 0; i < 4; ++i) {
            now += 250ms;
            slow.recordProgress(1024);
        }
    }
    REQUIRE(asked.size() > 50);
    REQUIRE(std::count(asked.begin(), asked.end(), 0) == 0);
}

// A caller that sends a byte now and then must not keep others out, whoever it is.
TEST_CASE_METHOD(buffer_budget_fixture, "buffer_budget.upload_that_nearly_stopped.is_reclaimed_for_a_crowd")
{
    buffer_lease& stopped = addHolder(rare);
    REQUIRE(stopped.resize(6 * mebibyte, true));
    for (int i = 0; i < 20; ++i) {
        now += 250ms;
        stopped.recordProgress(1);
    }
    REQUIRE(addHolder(crowd).resize(6 * mebibyte, true));
    REQUIRE(asked == std::vector<std::size_t> { 0 });
}

TEST_CASE_METHOD(buffer_budget_fixture, "buffer_budget.pipelined_input.uses_a_part_of_the_room_for_small_holdings")
{
    buffer_lease input(*budget, buffer_use::PipelinedInput, {});
    REQUIRE_FALSE(input.resize(smallSize, false));
    REQUIRE(input.resize(smallSize / 2, false));
    REQUIRE(budget->held(buffer_use::PipelinedInput) == smallSize / 2);
}

// Without it, a VM could never receive a state that is larger than the room for messages.
TEST_CASE_METHOD(buffer_budget_fixture, "buffer_budget.single_message_between_vms.may_be_larger_than_its_room")
{
    buffer_lease message(*budget, buffer_use::PeerInput, {});
    buffer_lease second(*budget, buffer_use::PeerOutput, {});
    REQUIRE(message.resize(20 * mebibyte, false));
    REQUIRE_FALSE(second.resize(1, false));
    message.release();
    REQUIRE(second.resize(20 * mebibyte, false));
}

TEST_CASE_METHOD(buffer_budget_fixture, "buffer_budget.many_refusals.are_logged_once")
{
    for (int i = 0; i < 100; ++i)
        REQUIRE_FALSE(addHolder().resize(11 * mebibyte, true));
    REQUIRE(budget->refused() == 100);
    REQUIRE(lines == 1);
}

// The smallest entry must still serve a single body of the largest legal size.
TEST_CASE("buffer_limits.smallest_entry.has_room_for_the_largest_body")
{
    constexpr std::size_t largestRequest = 64 * mebibyte + 16 * 1024;
    REQUIRE(bufferLimitsFor(byte_count(112'000'000)).large.value() >= largestRequest);
    REQUIRE(bufferLimitsFor(std::nullopt).large.value() >= 10 * largestRequest);
}

TEST_CASE("buffer_limits.memory_needed.is_the_least_that_has_room_for_the_largest_request")
{
    const caller_limits limits { byte_count(16 * 1024), byte_count(64 * mebibyte) };
    const std::uint64_t needed = memoryNeededFor(limits).value();
    const std::uint64_t largestRequest = limits.maximumHeaders.value() + limits.maximumBody.value();
    REQUIRE(bufferLimitsFor(byte_count(needed)).large.value() >= largestRequest);
    REQUIRE(bufferLimitsFor(byte_count(needed - 1000)).large.value() < largestRequest);
}

// Guards against a VM whose memory is too small for a legal request, and whose operator doesn't learn it.
TEST_CASE_METHOD(
    buffer_budget_fixture, "buffer_budget.memory_too_small_for_the_largest_request.is_reported_at_the_start")
{
    const caller_limits limits { byte_count(16 * 1024), byte_count(64 * mebibyte) };
    hooks.log = [this](const log_event& event) { started.push_back(event); };
    buffer_budget::createFor(hooks, byte_count(112'000'000), limits);
    REQUIRE(started.empty());
    buffer_budget::createFor(hooks, byte_count(64'000'000), limits);
    REQUIRE(started.size() == 1);
    REQUIRE(started.front().fields[1].name == "needed_bytes");
    REQUIRE(started.front().fields[1].value == absl::StrCat(memoryNeededFor(limits).value()));
}

} // namespace plantainlatch
