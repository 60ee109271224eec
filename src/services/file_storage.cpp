#include "services/file_storage.h"

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "codec/msgpack_codec.h"
#include "codec/record_codec.h"
#include "ports/port_names.h"

namespace plantainlatch {

namespace {

    constexpr const char* statePrefix = "state.";
    constexpr const char* snapshotPrefix = "snapshot.";
    constexpr const char* unfinishedSuffix = ".new";

    /** The payload of one record of a state file. */
    struct state_record {
        std::optional<hard_state> state;
        std::vector<log_entry> entries;

        template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
        {
            visit(self.state, self.entries);
        }
    };

    /** The payload of a snapshot file. */
    struct snapshot_record {
        /** The fields of files that were written before `after` was added. */
        static constexpr std::uint32_t requiredFields = 2;

        log_snapshot snapshot;
        /** Without `after`: whether log entries after the snapshot in older state files are still valid. */
        bool keepsLaterEntries = false;
        /** The hard state and the log entries after the snapshot, which replace all older state files. */
        std::optional<state_record> after;

        template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
        {
            visit(self.snapshot, self.keepsLaterEntries, self.after);
        }
    };

    std::vector<std::uint64_t> generationsOf(const std::vector<std::string>& names, const std::string& prefix)
    {
        std::vector<std::uint64_t> numbers;
        for (const std::string& name : names) {
            std::uint64_t number = 0;
            if (absl::StartsWith(name, prefix) && absl::SimpleAtoi(name.substr(prefix.size()), &number))
                numbers.push_back(number);
        }
        std::sort(numbers.begin(), numbers.end());
        return numbers;
    }

    absl::Status damaged(const std::string& path, const absl::Status& why)
    {
        return absl::DataLossError(absl::StrCat(path, ": ", std::string(why.message())));
    }

    /** Appends entries; each one replaces the entries from its index on. DataLoss if there is a gap in the indexes. */
    absl::Status mergeEntries(std::vector<log_entry>& entries, const std::vector<log_entry>& added)
    {
        for (const log_entry& entry : added) {
            while (!entries.empty() && entries.back().index >= entry.index)
                entries.pop_back();
            if (!entries.empty() && entries.back().index.next() != entry.index)
                return absl::DataLossError(absl::StrCat("log entry ", entry.index.value(),
                    " is not the next one after entry ", entries.back().index.value()));
            entries.push_back(entry);
        }
        return absl::OkStatus();
    }

    absl::Status dropCoveredEntries(recovered_state& recovered)
    {
        if (!recovered.snapshot)
            return absl::OkStatus();
        const log_index covered = recovered.snapshot->index;
        std::erase_if(recovered.entries, [covered](const log_entry& entry) { return entry.index <= covered; });
        if (!recovered.entries.empty() && recovered.entries.front().index != covered.next())
            return absl::DataLossError(absl::StrCat("log entry ", recovered.entries.front().index.value(),
                " is not the next one after the snapshot at ", covered.value()));
        return absl::OkStatus();
    }

} // namespace

struct file_storage::implementation {
    struct waiting_write {
        storage_write write;
        std::function<void(absl::Status)> done;
    };

    kernel_hooks hooks;
    std::string folder;
    file_hooks files;
    storage_port port;
    std::uint64_t generation = 0;
    /** State files of earlier generations are not read: the snapshot file contains what they held. */
    std::uint64_t firstStateFile = 0;
    /** Log entries in state files of earlier generations are discarded. */
    std::uint64_t firstValidGeneration = 0;
    std::optional<int> stateFile;
    absl::Status failure = absl::OkStatus();
    bool loaded = false;
    std::vector<waiting_write> waiting;
    timer_id flushTimer;
    std::uint64_t syncs = 0;
    duration syncTime {};
    duration slowestSync {};
    std::uint64_t writes = 0;
    std::uint64_t bytesWritten = 0;
    /** The latest hard state and the log entries after the snapshot; a new state file begins with them. */
    std::optional<hard_state> lastState;
    std::vector<log_entry> liveEntries;

    implementation(const kernel_hooks& kernelHooks, std::string dataFolder, file_hooks fileHooks)
        : hooks(kernelHooks)
        , folder(std::move(dataFolder))
        , files(std::move(fileHooks))
    {
        port.load = [this] { return load(); };
        port.write = [this](storage_write write, std::function<void(absl::Status)> done) {
            enqueue(std::move(write), std::move(done));
        };
        port.saveSnapshot
            = [this](const log_snapshot& snapshot, bool keepLaterEntries,
                  const std::function<void(absl::Status)>& done) { done(saveSnapshot(snapshot, keepLaterEntries)); };
        port.rewrite = [this](recovered_state content, const std::function<void(absl::Status)>& done) {
            done(rewrite(std::move(content)));
        };
    }

    ~implementation()
    {
        hooks.cancel(flushTimer);
        if (stateFile)
            files.close(*stateFile);
    }

    std::string path(const std::string& prefix, std::uint64_t number) const
    {
        return absl::StrCat(folder, "/", prefix, number);
    }

    absl::StatusOr<recovered_state> load()
    {
        const absl::StatusOr<std::vector<std::string>> names = files.list(folder);
        if (!names.ok())
            return names.status();
        recovered_state recovered;
        absl::Status status = loadSnapshot(*names, recovered);
        if (status.ok())
            status = loadStates(*names, recovered);
        if (status.ok())
            status = dropCoveredEntries(recovered);
        if (status.ok())
            status = openState();
        if (!status.ok())
            return status;
        lastState = recovered.state;
        liveEntries = recovered.entries;
        loaded = true;
        return recovered;
    }

    absl::Status loadSnapshot(const std::vector<std::string>& names, recovered_state& recovered)
    {
        const std::vector<std::uint64_t> numbers = generationsOf(names, snapshotPrefix);
        if (numbers.empty())
            return absl::OkStatus();
        generation = numbers.back();
        const std::string file = path(snapshotPrefix, generation);
        const absl::StatusOr<std::string> bytes = files.read(file);
        if (!bytes.ok())
            return bytes.status();
        const absl::StatusOr<record_scan> scan = scanRecords(*bytes);
        if (!scan.ok())
            return damaged(file, scan.status());
        if (scan->payloads.size() != 1 || scan->validBytes != bytes->size())
            return damaged(file, absl::DataLossError("the snapshot record at offset 0 is incomplete"));
        absl::StatusOr<snapshot_record> record = msgpack_codec::decode<snapshot_record>(scan->payloads.front());
        if (!record.ok())
            return damaged(file, record.status());
        recovered.snapshot = std::move(record->snapshot);
        if (record->after) {
            recovered.state = std::move(record->after->state);
            recovered.entries = std::move(record->after->entries);
            firstStateFile = generation;
        } else if (!record->keepsLaterEntries) {
            firstValidGeneration = generation;
        }
        return absl::OkStatus();
    }

    absl::Status loadStates(const std::vector<std::string>& names, recovered_state& recovered)
    {
        std::vector<std::uint64_t> numbers = generationsOf(names, statePrefix);
        std::erase_if(numbers, [this](std::uint64_t number) { return number < firstStateFile; });
        for (const std::uint64_t number : numbers) {
            const bool isLast = number == numbers.back();
            if (number <= firstValidGeneration)
                recovered.entries.clear();
            absl::Status status = loadState(path(statePrefix, number), isLast, recovered);
            if (!status.ok())
                return status;
        }
        if (!numbers.empty() && numbers.back() < firstValidGeneration)
            recovered.entries.clear();
        if (!numbers.empty())
            generation = std::max(generation, numbers.back());
        return absl::OkStatus();
    }

    absl::Status loadState(const std::string& file, bool mayBeTorn, recovered_state& recovered)
    {
        const absl::StatusOr<std::string> bytes = files.read(file);
        if (!bytes.ok())
            return bytes.status();
        const absl::StatusOr<record_scan> scan = scanRecords(*bytes);
        if (!scan.ok())
            return damaged(file, scan.status());
        for (const std::string& payload : scan->payloads) {
            const absl::StatusOr<state_record> record = msgpack_codec::decode<state_record>(payload);
            if (!record.ok())
                return damaged(file, record.status());
            if (record->state)
                recovered.state = record->state;
            const absl::Status merged = mergeEntries(recovered.entries, record->entries);
            if (!merged.ok())
                return damaged(file, merged);
        }
        if (scan->validBytes == bytes->size())
            return absl::OkStatus();
        if (!mayBeTorn)
            return damaged(
                file, absl::DataLossError(absl::StrCat("a record is incomplete at offset ", scan->validBytes)));
        hooks.log({ log_level::Warning, "storage", "a torn tail was cut",
            { { "file", file }, { "offset", absl::StrCat(scan->validBytes) } } });
        return files.truncate(file, scan->validBytes);
    }

    absl::Status openState()
    {
        if (stateFile)
            files.close(*std::exchange(stateFile, std::nullopt));
        const absl::StatusOr<int> file = files.open(path(statePrefix, generation));
        if (!file.ok())
            return file.status();
        stateFile = *file;
        const absl::Status synced = files.sync(*stateFile);
        return synced.ok() ? files.syncFolder(folder) : synced;
    }

    void enqueue(storage_write write, std::function<void(absl::Status)> done)
    {
        ++writes;
        waiting.push_back({ std::move(write), std::move(done) });
        if (waiting.size() == 1)
            flushTimer = hooks.schedule(duration::zero(), [this] { flush(); });
    }

    void flush()
    {
        const std::vector<waiting_write> batch = std::exchange(waiting, {});
        std::string bytes;
        for (const waiting_write& item : batch) {
            bytes += encodeRecord(msgpack_codec::encode(state_record { item.write.state, item.write.entries }));
            applyWrite(item.write);
        }
        const absl::Status status = appendAndSync(bytes);
        for (const waiting_write& item : batch)
            item.done(status);
    }

    void applyWrite(const storage_write& write)
    {
        if (write.state)
            lastState = write.state;
        const absl::Status merged = mergeEntries(liveEntries, write.entries);
        if (!merged.ok())
            fail(merged).IgnoreError();
    }

    absl::Status appendAndSync(const std::string& bytes)
    {
        if (!failure.ok() || !stateFile)
            return failure.ok() ? absl::FailedPreconditionError("the storage was not loaded") : failure;
        const time_point began = hooks.now();
        absl::Status status = files.append(*stateFile, bytes);
        if (status.ok())
            status = files.sync(*stateFile);
        const duration took = hooks.now() - began;
        syncTime += took;
        slowestSync = std::max(slowestSync, took);
        ++syncs;
        bytesWritten += bytes.size();
        return status.ok() ? status : fail(status);
    }

    /** Fails all further writes. After a failed write or sync it is unknown what the state file contains; only a
     * rewrite, or a restart that reads the files again, ends this state. */
    absl::Status fail(const absl::Status& status)
    {
        if (failure.ok()) {
            failure = status;
            hooks.log(
                { log_level::Error, "storage", "the storage failed and takes no more writes until it is rewritten",
                    { { "why", std::string(status.message()) } } });
        }
        return failure;
    }

    void flushWaiting()
    {
        if (waiting.empty())
            return;
        hooks.cancel(flushTimer);
        flush();
    }

    absl::Status saveSnapshot(const log_snapshot& snapshot, bool keepLaterEntries)
    {
        if (!failure.ok() || !loaded)
            return failure.ok() ? absl::FailedPreconditionError("the storage was not loaded") : failure;
        flushWaiting();
        std::erase_if(liveEntries, [&snapshot, keepLaterEntries](const log_entry& entry) {
            return !keepLaterEntries || entry.index <= snapshot.index;
        });
        const absl::Status status = beginGeneration({ lastState, snapshot, liveEntries });
        return status.ok() ? status : fail(status);
    }

    absl::Status rewrite(recovered_state content)
    {
        if (!loaded)
            return absl::FailedPreconditionError("the storage was not loaded");
        flushWaiting();
        absl::Status status = beginGeneration(content);
        if (!status.ok())
            return status;
        lastState = content.state;
        liveEntries = std::move(content.entries);
        if (!failure.ok())
            hooks.log({ log_level::Info, "storage", "the storage takes writes again", { { "folder", folder } } });
        failure = absl::OkStatus();
        return status;
    }

    /** Saves the content in a snapshot file of the next generation, begins a state file after it, and removes the
     * older files. A process that ends in between finds the former content or this one. */
    absl::Status beginGeneration(const recovered_state& content)
    {
        const std::uint64_t next = generation + 1;
        const snapshot_record record { content.snapshot.value_or(log_snapshot {}), false,
            state_record { content.state, content.entries } };
        absl::Status status = writeAtomically(path(snapshotPrefix, next), msgpack_codec::encode(record));
        if (!status.ok())
            return status;
        generation = next;
        status = openState();
        if (status.ok())
            removeOlder();
        return status;
    }

    /** Writes a file with one record atomically: after a crash it is there completely or not at all. */
    absl::Status writeAtomically(const std::string& file, const std::string& payload)
    {
        const std::string unfinished = file + unfinishedSuffix;
        absl::Status status = files.remove(unfinished);
        if (!status.ok() && !absl::IsNotFound(status))
            return status;
        status = writeWhole(unfinished, encodeRecord(payload));
        if (status.ok())
            status = files.rename(unfinished, file);
        else
            files.remove(unfinished).IgnoreError();
        return status.ok() ? files.syncFolder(folder) : status;
    }

    absl::Status writeWhole(const std::string& file, const std::string& bytes)
    {
        const absl::StatusOr<int> opened = files.open(file);
        if (!opened.ok())
            return opened.status();
        absl::Status status = files.append(*opened, bytes);
        if (status.ok())
            status = files.sync(*opened);
        files.close(*opened);
        // A disk that has failed before is not trusted to hold what it accepted.
        return status.ok() && !failure.ok() ? readBack(file, bytes) : status;
    }

    absl::Status readBack(const std::string& file, const std::string& expected)
    {
        const absl::StatusOr<std::string> bytes = files.read(file);
        if (!bytes.ok())
            return bytes.status();
        return *bytes == expected ? absl::OkStatus()
                                  : damaged(file, absl::DataLossError("it was not stored as written"));
    }

    void removeOlder()
    {
        const absl::StatusOr<std::vector<std::string>> names = files.list(folder);
        if (!names.ok())
            return;
        for (const char* prefix : { statePrefix, snapshotPrefix }) {
            for (const std::uint64_t number : generationsOf(*names, prefix)) {
                if (number < generation)
                    files.remove(path(prefix, number)).IgnoreError();
            }
        }
    }

    state_dump dump() const
    {
        state_dump root;
        root.add("generation", generation);
        root.add("writes", writes);
        root.add("syncs", syncs);
        root.add("sync_time", syncTime);
        root.add("slowest_sync", slowestSync);
        root.add("bytes_written", bytesWritten);
        root.add("failure", std::string(failure.message()));
        return root;
    }
};

file_storage::file_storage(std::unique_ptr<implementation> parts)
    : m_parts(std::move(parts))
{
}

file_storage::~file_storage() = default;

absl::StatusOr<std::unique_ptr<file_storage>> file_storage::create(
    const kernel_hooks& hooks, const std::string& folder, file_hooks files)
{
    const absl::Status claimed = files.claimFolder(folder);
    if (!claimed.ok())
        return claimed;
    return std::unique_ptr<file_storage>(
        new file_storage(std::make_unique<implementation>(hooks, folder, std::move(files))));
}

storage_port& file_storage::port() { return m_parts->port; }

service file_storage::asService()
{
    implementation* parts = m_parts.get();
    service item;
    item.name = port_names::storage;
    item.start = [parts](registry& services) { return services.publish(port_names::storage, parts->port); };
    item.stop = [parts](const std::function<void()>& stopped) {
        parts->flushWaiting();
        stopped();
    };
    item.dump = [parts] { return parts->dump(); };
    return item;
}

} // namespace plantainlatch
