#include <catch2/catch.hpp>

#include "model/approximate_size.h"
#include "support/consensus_fixture.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    /** Three replicas and a learner, whose configurations are large: each change is an entry of `changeBytes`. */
    class large_change_fixture {
    protected:
        static constexpr std::size_t changeBytes = 512 * 1024;
        /** The whole log is small beside the memory of the smallest VM, 256 MB. */
        static constexpr std::uint64_t maximumLogBytes = 8 * 1024 * 1024;

        void begin()
        {
            cluster.startAll();
            REQUIRE(cluster.waitForLeader());
        }

        /** Proposes a large configuration without waiting for the result. */
        void propose(int through, std::uint64_t number)
        {
            replace_configuration command;
            command.content.number = change_number(number);
            command.content.document.assign(changeBytes, 'x');
            cluster.vm(through).port->propose(std::move(command), 5s,
                [this, number](const absl::StatusOr<command_result>& result) { results[number] = result; });
        }

        void change(std::uint64_t from, std::uint64_t to)
        {
            for (std::uint64_t number = from; number <= to; ++number) {
                propose(cluster.leader(), number);
                REQUIRE(cluster.until([&] { return results.contains(number); }));
                REQUIRE(results.at(number).ok());
            }
        }

        /** Kills all replicas, proposes 100 changes, and returns how many of them wait for a result. */
        std::uint64_t waitingWithoutLeader()
        {
            begin();
            for (int i = 1; i <= 3; ++i)
                cluster.kill(i);
            for (std::uint64_t number = 1; number <= 100; ++number)
                propose(4, number);
            cluster.advance(1ms);
            return 100 - results.size();
        }

        std::uint64_t logBytes(int number)
        {
            const state_dump dump = cluster.vm(number).subject->asService().dump();
            for (const state_dump& child : dump.children) {
                if (child.name == "log_bytes")
                    return static_cast<std::uint64_t>(std::get<std::int64_t>(child.value));
            }
            FAIL("no log_bytes");
            return 0;
        }

        bool allHaveApplied(log_index index)
        {
            for (int i = 1; i <= cluster.size(); ++i) {
                if (cluster.vm(i).port->applied() < index)
                    return false;
            }
            return true;
        }

        /** Counts the bytes of entries that are sent to a VM from now on. */
        void countEntriesTo(int number)
        {
            sentBytes = 0;
            cluster.network.onSend
                = [this, counted = cluster.name(number)](const vm_id&, const vm_id& to, const peer_message& message) {
                      const auto* item = std::get_if<consensus_message>(&message);
                      const auto* append = item != nullptr ? std::get_if<append_request>(item) : nullptr;
                      if (append != nullptr && to == counted)
                          sentBytes += approximateSize(append->entries);
                  };
        }

        std::uint64_t sentBytes = 0;
        consensus_cluster cluster { 4, 3, 7 };
        std::map<std::uint64_t, absl::StatusOr<command_result>> results;
    };

} // namespace

// Guards against core processes that ran out of memory, as the log was compacted by the number of its entries alone.
TEST_CASE_METHOD(large_change_fixture, "log.after_many_large_changes.is_limited_in_bytes")
{
    begin();
    change(1, 60);
    REQUIRE(cluster.until([&] { return allHaveApplied(cluster.vm(cluster.leader()).port->applied()); }));
    for (int i = 1; i <= cluster.size(); ++i) {
        REQUIRE(logBytes(i) <= maximumLogBytes);
        REQUIRE(approximateSize(cluster.vm(i).disk->content().entries) <= maximumLogBytes);
    }
}

// Guards against a compaction by bytes that removes what a VM needs to catch up.
TEST_CASE_METHOD(large_change_fixture, "vm.that_missed_large_changes.catches_up_with_the_log")
{
    begin();
    const int killed = cluster.leader() % 3 + 1;
    cluster.kill(killed);
    cluster.kill(4);
    change(1, 30);
    REQUIRE(cluster.start(killed).ok());
    REQUIRE(cluster.start(4).ok());
    const log_index last = cluster.vm(cluster.leader()).port->applied();
    REQUIRE(cluster.until([&] { return allHaveApplied(last); }, 5s));
}

// Guards against a leader that holds all entries once more for each VM that is cut off.
TEST_CASE_METHOD(large_change_fixture, "follower.that_does_not_answer.is_sent_a_limited_number_of_bytes")
{
    begin();
    countEntriesTo(4);
    cluster.network.isolate(cluster.name(4));
    change(1, 12);
    REQUIRE(sentBytes <= cluster.options.maximumWindowBytes + cluster.options.maximumBatchBytes + changeBytes);
    cluster.network.rejoin(cluster.name(4));
    const log_index last = cluster.vm(cluster.leader()).port->applied();
    REQUIRE(cluster.until([&] { return allHaveApplied(last); }, 5s));
}

// Guards against memory that grows with each change that a leader accepts while no majority stores them.
TEST_CASE_METHOD(large_change_fixture, "leader.whose_entries_get_lost.accepts_a_limited_number_of_bytes")
{
    begin();
    const int leader = cluster.leader();
    cluster.network.drops = [](const vm_id&, const vm_id&, const peer_message& message) {
        const auto* item = std::get_if<consensus_message>(&message);
        const auto* append = item != nullptr ? std::get_if<append_request>(item) : nullptr;
        return append != nullptr && !append->entries.empty();
    };
    for (int through = 1; through <= cluster.size(); ++through) {
        for (std::uint64_t i = 0; i < 20; ++i)
            propose(through, static_cast<std::uint64_t>(through) * 100 + i);
    }
    cluster.advance(2s);
    REQUIRE(cluster.leader() == leader);
    REQUIRE(logBytes(leader) <= cluster.options.maximumUncommittedBytes + changeBytes);
}

// Guards against memory that grows with each change that waits for a leader.
TEST_CASE_METHOD(large_change_fixture, "proposals.without_a_leader.are_refused_at_once_beyond_a_number_of_bytes")
{
    const std::uint64_t waiting = waitingWithoutLeader();
    REQUIRE(waiting * changeBytes <= cluster.options.maximumPendingBytes);
    REQUIRE(waiting > 0);
    for (const auto& [number, result] : results)
        REQUIRE(result.status().code() == absl::StatusCode::kUnavailable);
}

// Guards against proposals that fill the memory of a small VM before their own limit is reached.
TEST_CASE_METHOD(large_change_fixture, "proposals.on_a_small_vm.are_limited_by_its_memory")
{
    constexpr byte_count memory { 64'000'000 };
    cluster.adjustSettings = [&](vm_settings& settings) { settings.memoryLimit = memory; };
    REQUIRE(waitingWithoutLeader() * changeBytes <= memory.value() / 16);
}

} // namespace plantainlatch
