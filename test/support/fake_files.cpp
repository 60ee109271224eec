#include "support/fake_files.h"

#include <algorithm>

namespace plantainlatch {

file_hooks fake_files::hooks()
{
    file_hooks hooks;
    hooks.claimFolder = [](const std::string&) { return absl::OkStatus(); };
    hooks.list = [this](const std::string& folder) -> absl::StatusOr<std::vector<std::string>> {
        std::vector<std::string> names;
        for (const auto& [path, content] : files)
            names.push_back(path.substr(folder.size() + 1));
        return names;
    };
    hooks.read = [this](const std::string& path) -> absl::StatusOr<std::string> {
        const auto found = files.find(path);
        if (found == files.end())
            return absl::NotFoundError(path);
        return found->second.bytes;
    };
    hooks.open = [this](const std::string& path) -> absl::StatusOr<int> {
        change();
        if (files.try_emplace(path).second)
            m_unsyncedNames.try_emplace(path);
        m_open[++m_lastOpen] = path;
        return m_lastOpen;
    };
    hooks.append = [this](int number, std::string_view bytes) {
        change();
        if (appendStatus.ok())
            files[m_open[number]].bytes.append(garbles ? std::string(bytes.size(), '#') : std::string(bytes));
        return appendStatus;
    };
    hooks.sync = [this](int number) {
        change();
        ++syncs;
        if (!syncStatus.ok())
            return syncStatus;
        const std::string& path = m_open[number];
        files[path].synced = files[path].bytes.size();
        const auto name = m_unsyncedNames.find(path);
        if (name != m_unsyncedNames.end() && !name->second)
            m_unsyncedNames.erase(name);
        return syncStatus;
    };
    hooks.close = [this](int number) { m_open.erase(number); };
    hooks.truncate = [this](const std::string& path, std::size_t size) {
        change();
        files[path].bytes.resize(size);
        files[path].synced = std::min(files[path].synced, size);
        return absl::OkStatus();
    };
    hooks.rename = [this](const std::string& from, const std::string& to) {
        change();
        m_unsyncedNames.try_emplace(from, files[from]);
        m_unsyncedNames.try_emplace(to, files.contains(to) ? std::optional(files[to]) : std::nullopt);
        files[to] = files[from];
        files.erase(from);
        return absl::OkStatus();
    };
    hooks.remove = [this](const std::string& path) {
        const auto found = files.find(path);
        if (found == files.end())
            return absl::NotFoundError(path);
        change();
        m_unsyncedNames.try_emplace(path, found->second);
        files.erase(found);
        return absl::OkStatus();
    };
    hooks.syncFolder = [this](const std::string&) {
        change();
        m_unsyncedNames.clear();
        return absl::OkStatus();
    };
    return hooks;
}

void fake_files::losePower(std::size_t tornBytes)
{
    for (auto& [path, content] : files)
        content.bytes.resize(std::min(content.bytes.size(), content.synced + tornBytes));
    m_open.clear();
    m_unsyncedNames.clear();
}

void fake_files::losePowerAtRandom(const std::function<std::uint64_t()>& random)
{
    for (const auto& [path, former] : m_unsyncedNames) {
        if (random() % 2 == 0)
            continue;
        if (former)
            files[path] = *former;
        else
            files.erase(path);
    }
    for (auto& [path, content] : files)
        content.bytes.resize(content.synced + random() % (content.bytes.size() - content.synced + 1));
    for (auto& [path, content] : files)
        content.synced = content.bytes.size();
    m_open.clear();
    m_unsyncedNames.clear();
}

} // namespace plantainlatch
