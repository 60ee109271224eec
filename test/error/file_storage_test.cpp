#include <string>

#include <catch2/catch.hpp>

#include "codec/msgpack_codec.h"
#include "codec/record_codec.h"
#include "services/file_storage.h"
#include "support/fake_files.h"
#include "support/paused_runtime.h"

namespace plantainlatch {

namespace {

    /** The payload of a snapshot file as former versions wrote it. */
    struct former_record {
        log_snapshot snapshot;
        bool keepsLaterEntries = true;

        template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
        {
            visit(self.snapshot, self.keepsLaterEntries);
        }
    };

    class file_storage_fixture {
    protected:
        absl::StatusOr<recovered_state> restart()
        {
            storage.reset();
            storage = *file_storage::create(runtime.hooks(), "data", disk.hooks());
            return storage->port().load();
        }

        absl::Status write(std::uint64_t term, std::uint64_t firstIndex, std::uint64_t lastIndex)
        {
            storage_write item;
            item.state = hard_state { { vm_id("e1"), incarnation(5) }, log_term(term), {} };
            for (std::uint64_t index = firstIndex; index <= lastIndex; ++index) {
                log_entry& entry = item.entries.emplace_back();
                entry.term = log_term(term);
                entry.index = log_index(index);
            }
            absl::Status result = absl::UnknownError("not called");
            storage->port().write(item, [&result](const absl::Status& status) { result = status; });
            runtime.advance(std::chrono::milliseconds(1));
            return result;
        }

        absl::Status snapshotAt(std::uint64_t index, bool keepLaterEntries = true)
        {
            log_snapshot snapshot;
            snapshot.index = log_index(index);
            absl::Status result = absl::UnknownError("not called");
            storage->port().saveSnapshot(
                snapshot, keepLaterEntries, [&result](const absl::Status& status) { result = status; });
            return result;
        }

        /** Rewrites the storage with a state of this term and no entries. */
        absl::Status rewrite(std::uint64_t term)
        {
            recovered_state content;
            content.state = hard_state { { vm_id("e1"), incarnation(5) }, log_term(term), {} };
            absl::Status result = absl::UnknownError("not called");
            storage->port().rewrite(content, [&result](const absl::Status& status) { result = status; });
            return result;
        }

        std::string& stateBytes(const std::string& name) { return disk.files["data/" + name].bytes; }

        paused_runtime runtime { 1 };
        fake_files disk;
        std::unique_ptr<file_storage> storage;
    };

} // namespace

TEST_CASE_METHOD(file_storage_fixture, "file_storage.restart_after_synced_writes.recovers_state_and_entries")
{
    REQUIRE_FALSE(restart()->state.has_value());
    REQUIRE(write(1, 1, 3).ok());
    REQUIRE(write(2, 3, 5).ok());
    disk.losePower(0);
    const auto recovered = restart();
    REQUIRE(recovered.ok());
    REQUIRE(recovered->state->term == log_term(2));
    REQUIRE(recovered->entries.size() == 5);
    REQUIRE(recovered->entries[1].term == log_term(1));
    REQUIRE(recovered->entries[2].term == log_term(2));
}

TEST_CASE_METHOD(file_storage_fixture, "file_storage.writes_in_one_loop_iteration.share_one_sync")
{
    REQUIRE(restart().ok());
    const int before = disk.syncs;
    int done = 0;
    for (int i = 0; i < 10; ++i)
        storage->port().write({}, [&done](const absl::Status& status) { done += status.ok() ? 1 : 0; });
    runtime.advance(std::chrono::milliseconds(1));
    REQUIRE(done == 10);
    REQUIRE(disk.syncs == before + 1);
}

TEST_CASE_METHOD(
    file_storage_fixture, "file_storage.torn_last_record_of_any_length.is_truncated_and_earlier_records_are_kept")
{
    REQUIRE(restart().ok());
    REQUIRE(write(1, 1, 3).ok());
    const std::string complete = stateBytes("state.0");
    REQUIRE(write(1, 4, 4).ok());
    const std::string withLastRecord = stateBytes("state.0");
    for (std::size_t size = complete.size(); size < withLastRecord.size(); ++size) {
        stateBytes("state.0") = withLastRecord.substr(0, size);
        const auto recovered = restart();
        REQUIRE(recovered.ok());
        REQUIRE(recovered->entries.size() == 3);
        REQUIRE(stateBytes("state.0").size() == complete.size());
    }
}

TEST_CASE_METHOD(
    file_storage_fixture, "file_storage.corruption_before_the_last_record.is_data_loss_with_file_and_offset")
{
    REQUIRE(restart().ok());
    REQUIRE(write(1, 1, 3).ok());
    const std::size_t firstEnd = stateBytes("state.0").size();
    REQUIRE(write(1, 4, 6).ok());
    const std::string complete = stateBytes("state.0");
    for (std::size_t offset = 0; offset < firstEnd; ++offset) {
        stateBytes("state.0") = complete;
        stateBytes("state.0")[offset] = static_cast<char>(stateBytes("state.0")[offset] ^ 0x10);
        const auto recovered = restart();
        REQUIRE(recovered.status().code() == absl::StatusCode::kDataLoss);
        REQUIRE_THAT(
            std::string(recovered.status().message()), Catch::Contains("data/state.0") && Catch::Contains("offset 0"));
    }
}

TEST_CASE_METHOD(file_storage_fixture, "file_storage.failed_sync.fails_all_later_writes_until_a_restart")
{
    REQUIRE(restart().ok());
    REQUIRE(write(1, 1, 1).ok());
    disk.syncStatus = absl::UnavailableError("I/O error");
    REQUIRE_FALSE(write(1, 2, 2).ok());
    disk.syncStatus = absl::OkStatus();
    REQUIRE_FALSE(write(1, 3, 3).ok());
    REQUIRE_FALSE(snapshotAt(1).ok());
    disk.losePower(0);
    REQUIRE(restart()->entries.size() == 1);
    REQUIRE(write(1, 2, 2).ok());
}

TEST_CASE_METHOD(file_storage_fixture, "file_storage.full_disk.fails_the_write_as_resource_exhausted")
{
    REQUIRE(restart().ok());
    disk.appendStatus = absl::ResourceExhaustedError("no space left");
    REQUIRE(write(1, 1, 1).code() == absl::StatusCode::kResourceExhausted);
    disk.appendStatus = absl::OkStatus();
    REQUIRE(write(1, 1, 1).code() == absl::StatusCode::kResourceExhausted);
}

// Guards against a disk that stays unused for the life of the process after it was full for some seconds.
TEST_CASE_METHOD(file_storage_fixture, "file_storage.rewrite_after_a_full_disk.makes_later_writes_durable_again")
{
    REQUIRE(restart().ok());
    REQUIRE(write(1, 1, 3).ok());
    disk.appendStatus = absl::ResourceExhaustedError("no space left");
    REQUIRE_FALSE(write(1, 4, 4).ok());
    REQUIRE_FALSE(rewrite(2).ok());
    REQUIRE(disk.files.size() == 1);
    disk.appendStatus = absl::OkStatus();
    REQUIRE_FALSE(write(1, 4, 4).ok());
    REQUIRE(rewrite(2).ok());
    REQUIRE(write(2, 1, 2).ok());
    disk.losePower(0);
    const auto recovered = restart();
    REQUIRE(recovered->state->term == log_term(2));
    REQUIRE(recovered->entries.size() == 2);
}

TEST_CASE_METHOD(file_storage_fixture, "file_storage.rewrite_that_reads_back_differently.leaves_the_former_content")
{
    REQUIRE(restart().ok());
    REQUIRE(write(1, 1, 3).ok());
    disk.syncStatus = absl::UnavailableError("I/O error");
    REQUIRE_FALSE(write(1, 4, 4).ok());
    disk.syncStatus = absl::OkStatus();
    disk.garbles = true;
    REQUIRE(absl::IsDataLoss(rewrite(2)));
    REQUIRE_FALSE(write(1, 4, 4).ok());
    disk.losePower(0);
    REQUIRE(restart()->entries.size() == 3);
}

TEST_CASE_METHOD(file_storage_fixture, "file_storage.snapshot_of_a_former_version.is_read_with_its_state_file")
{
    REQUIRE(restart().ok());
    REQUIRE(write(3, 1, 10).ok());
    former_record former;
    former.snapshot.index = log_index(7);
    disk.files["data/snapshot.1"].bytes = encodeRecord(msgpack_codec::encode(former));
    REQUIRE(restart()->snapshot->index == log_index(7));
    REQUIRE(restart()->entries.size() == 3);
}

TEST_CASE_METHOD(
    file_storage_fixture, "file_storage.snapshot.replaces_the_entries_that_it_covers_and_older_files_are_removed")
{
    REQUIRE(restart().ok());
    REQUIRE(write(3, 1, 10).ok());
    REQUIRE(snapshotAt(7).ok());
    REQUIRE(write(3, 11, 12).ok());
    disk.losePower(0);
    const auto recovered = restart();
    REQUIRE(recovered.ok());
    REQUIRE(recovered->snapshot->index == log_index(7));
    REQUIRE(recovered->state->term == log_term(3));
    REQUIRE(recovered->entries.size() == 5);
    REQUIRE(recovered->entries.front().index == log_index(8));
    REQUIRE(disk.files.size() == 2);
}

TEST_CASE_METHOD(file_storage_fixture, "file_storage.crash_between_snapshot_and_new_state_file.loses_nothing")
{
    REQUIRE(restart().ok());
    REQUIRE(write(3, 1, 10).ok());
    const auto before = disk.files;
    REQUIRE(snapshotAt(7).ok());
    const auto snapshotFile = disk.files["data/snapshot.1"];
    disk.files = before;
    disk.files["data/snapshot.1"] = snapshotFile;
    const auto recovered = restart();
    REQUIRE(recovered.ok());
    REQUIRE(recovered->entries.size() == 3);
    REQUIRE(recovered->state->term == log_term(3));
}

TEST_CASE_METHOD(file_storage_fixture,
    "file_storage.snapshot_without_later_entries.drops_them_even_if_the_new_state_file_is_missing")
{
    REQUIRE(restart().ok());
    REQUIRE(write(3, 1, 10).ok());
    const auto before = disk.files;
    REQUIRE(snapshotAt(7, false).ok());
    REQUIRE(restart()->entries.empty());
    const auto snapshotFile = disk.files["data/snapshot.1"];
    disk.files = before;
    disk.files["data/snapshot.1"] = snapshotFile;
    REQUIRE(restart()->entries.empty());
    REQUIRE(restart()->entries.empty());
    REQUIRE(write(4, 8, 9).ok());
    REQUIRE(restart()->entries.size() == 2);
}

// Guards against an order of writes, syncs, renames and removals that leaves too little at some moment of a power loss.
TEST_CASE_METHOD(file_storage_fixture, "file_storage.power_loss_at_any_operation.leaves_what_was_acknowledged")
{
    struct power_loss { };
    for (int operation = 1; operation < 60; ++operation) {
        for (int outcome = 0; outcome < 40; ++outcome) {
            disk = fake_files {};
            int operations = 0;
            disk.onChange = [&] {
                if (++operations == operation)
                    throw power_loss {};
            };
            std::uint64_t acknowledged = 0;
            std::uint64_t acknowledgedTerm = 0;
            // Outside of assertions, which would take the exception for a failure.
            bool allSucceeded = true;
            try {
                allSucceeded = restart().ok();
                for (std::uint64_t round = 1; round <= 3; ++round) {
                    for (const std::uint64_t index : { 4 * round - 3, 4 * round - 1 }) {
                        allSucceeded = write(round, index, index + 1).ok() && allSucceeded;
                        acknowledged = index + 1;
                        acknowledgedTerm = round;
                    }
                    allSucceeded = snapshotAt(4 * round - 1).ok() && allSucceeded;
                    if (round == 2)
                        allSucceeded = restart().ok() && allSucceeded;
                }
            } catch (const power_loss&) {
                // The next process finds what the loss of power left.
            }
            disk.onChange = nullptr;
            disk.losePowerAtRandom([this] { return runtime.random(); });
            CAPTURE(operation, outcome);
            REQUIRE(allSucceeded);
            const auto recovered = restart();
            REQUIRE(recovered.ok());
            const std::uint64_t snapshot = recovered->snapshot ? recovered->snapshot->index.value() : 0;
            REQUIRE(snapshot + recovered->entries.size() >= acknowledged);
            REQUIRE((acknowledged == 0 || recovered->state->term >= log_term(acknowledgedTerm)));
            const std::uint64_t next = snapshot + recovered->entries.size() + 1;
            REQUIRE(write(4, next, next).ok());
        }
    }
}

} // namespace plantainlatch
