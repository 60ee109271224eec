#include "support/fake_disk.h"

#include "core/internal_assert.h"

namespace plantainlatch {

namespace {

    log_index lastIndexOf(const recovered_state& content)
    {
        if (!content.entries.empty())
            return content.entries.back().index;
        return content.snapshot ? content.snapshot->index : log_index(0);
    }

    void applyWrite(recovered_state& content, const storage_write& write)
    {
        if (write.state)
            content.state = write.state;
        if (write.entries.empty())
            return;
        while (!content.entries.empty() && content.entries.back().index >= write.entries.front().index)
            content.entries.pop_back();
        internal_assert(write.entries.front().index == lastIndexOf(content).next())
            << "gap before entry " << write.entries.front().index.value();
        content.entries.insert(content.entries.end(), write.entries.begin(), write.entries.end());
    }

    void applySnapshot(recovered_state& content, const log_snapshot& snapshot, bool keepLaterEntries)
    {
        std::vector<log_entry> later;
        for (log_entry& entry : content.entries) {
            if (keepLaterEntries && entry.index > snapshot.index)
                later.push_back(std::move(entry));
        }
        content.snapshot = snapshot;
        content.entries = std::move(later);
    }

} // namespace

storage_port fake_disk::attach(const process_lifetime& life)
{
    storage_port port;
    port.load = [this]() -> absl::StatusOr<recovered_state> {
        if (!damage.ok())
            return damage;
        return m_content;
    };
    port.write
        = [this, alive = std::weak_ptr<bool>(life)](storage_write write, std::function<void(absl::Status)> done) {
              add({ [write = std::move(write)](recovered_state& content) { applyWrite(content, write); },
                  std::move(done), alive });
          };
    port.saveSnapshot = [this, alive = std::weak_ptr<bool>(life)](
                            log_snapshot snapshot, bool keepLater, std::function<void(absl::Status)> done) {
        add({ [snapshot = std::move(snapshot), keepLater](
                  recovered_state& content) { applySnapshot(content, snapshot, keepLater); },
            std::move(done), alive });
    };
    port.rewrite = [this, alive = std::weak_ptr<bool>(life)](
                       recovered_state replacement, std::function<void(absl::Status)> done) {
        add({ [replacement = std::move(replacement)](recovered_state& content) { content = replacement; },
            std::move(done), alive });
    };
    return port;
}

void fake_disk::add(pending_operation operation)
{
    m_pending.push_back(std::move(operation));
    if (m_isSyncing)
        return;
    m_isSyncing = true;
    m_runtime.schedule(syncTime, [this, generation = m_generation] {
        if (generation == m_generation)
            syncAll();
    });
}

void fake_disk::syncAll()
{
    m_isSyncing = false;
    std::deque<pending_operation> batch;
    batch.swap(m_pending);
    const bool fails = failing;
    for (const pending_operation& operation : batch) {
        if (!fails)
            operation.apply(m_content);
    }
    for (const pending_operation& operation : batch) {
        if (!operation.life.expired())
            operation.done(fails ? absl::ResourceExhaustedError("no space left on the disk") : absl::OkStatus());
    }
}

void fake_disk::crash()
{
    ++m_generation;
    m_isSyncing = false;
    const bool keepsNone = m_pending.empty() || failing || !keepsSomeUnsynced;
    const std::size_t kept = keepsNone ? 0 : m_runtime.random() % (m_pending.size() + 1);
    for (std::size_t i = 0; i < kept; ++i)
        m_pending[i].apply(m_content);
    m_pending.clear();
}

void fake_disk::wipe()
{
    crash();
    m_content = recovered_state {};
}

} // namespace plantainlatch
