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

} // namespace plantainlatch
