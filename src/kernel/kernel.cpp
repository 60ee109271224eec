#include "kernel/kernel.h"

#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"
#include "core/internal_assert.h"

namespace plantainlatch {

namespace {

    using position_map = absl::flat_hash_map<std::string, std::size_t>;

    position_map positionsByName(const std::vector<service>& services, finding_list& findings)
    {
        position_map positions;
        for (std::size_t i = 0; i < services.size(); ++i) {
            if (!positions.try_emplace(services[i].name, i).second)
                findings.add(
                    {}, absl::StrCat("service '", services[i].name, "' is added twice"), "unique service names");
        }
        return positions;
    }

    void findMissingDependencies(
        const std::vector<service>& services, const position_map& positions, finding_list& findings)
    {
        for (const service& item : services) {
            for (const std::string& dependency : item.dependencies) {
                if (!positions.contains(dependency))
                    findings.add({},
                        absl::StrCat("service '", item.name, "' depends on '", dependency, "', which is missing"),
                        "a service of that name");
            }
        }
    }

    bool allDependenciesPlaced(const service& item, const position_map& positions, const std::vector<bool>& placed)
    {
        for (const std::string& dependency : item.dependencies) {
            const auto position = positions.find(dependency);
            if (position != positions.end() && !placed[position->second])
                return false;
        }
        return true;
    }

} // namespace

std::vector<std::size_t> startOrder(const std::vector<service>& services, finding_list& findings)
{
    const position_map positions = positionsByName(services, findings);
    findMissingDependencies(services, positions, findings);
    std::vector<std::size_t> order;
    std::vector<bool> placed(services.size(), false);
    bool progressed = true;
    while (progressed) {
        progressed = false;
        for (std::size_t i = 0; i < services.size(); ++i) {
            if (placed[i] || !allDependenciesPlaced(services[i], positions, placed))
                continue;
            placed[i] = true;
            order.push_back(i);
            progressed = true;
        }
    }
    for (std::size_t i = 0; i < services.size(); ++i) {
        if (!placed[i])
            findings.add({},
                absl::StrCat("service '", services[i].name, "' is part of, or depends on, a dependency cycle"),
                "dependencies without a cycle");
    }
    return order;
}

kernel::kernel(kernel_hooks hooks)
    : m_hooks(std::move(hooks))
{
}

absl::StatusOr<std::unique_ptr<kernel>> kernel::create(kernel_hooks hooks)
{
    if (!hooks.now || !hooks.wallNow || !hooks.schedule || !hooks.cancel || !hooks.random || !hooks.log)
        return absl::InvalidArgumentError("a kernel hook is not set");
    return std::unique_ptr<kernel>(new kernel(std::move(hooks)));
}

void kernel::add(service item)
{
    internal_assert(m_started.empty()) << "service " << item.name << " was added after the start";
    m_services.push_back(std::move(item));
}

absl::Status kernel::start()
{
    finding_list findings;
    const std::vector<std::size_t> order = startOrder(m_services, findings);
    if (!findings.empty())
        return findings.toStatus();
    for (std::size_t position : order) {
        const absl::Status status = m_services[position].start(m_registry);
        if (!status.ok())
            return absl::Status(
                status.code(), absl::StrCat("service '", m_services[position].name, "': ", status.message()));
        m_started.push_back(position);
    }
    return absl::OkStatus();
}

void kernel::stop(std::function<void()> stopped) { stopNext(std::move(stopped)); }

void kernel::stopNext(std::function<void()> stopped)
{
    while (!m_started.empty()) {
        const service& item = m_services[m_started.back()];
        m_started.pop_back();
        if (item.stop) {
            item.stop([this, stopped = std::move(stopped)]() mutable { stopNext(std::move(stopped)); });
            return;
        }
    }
    stopped();
}

state_dump kernel::dump() const
{
    state_dump root("vm");
    for (std::size_t position : m_started) {
        if (!m_services[position].dump)
            continue;
        state_dump child = m_services[position].dump();
        child.name = m_services[position].name;
        root.children.push_back(std::move(child));
    }
    return root;
}

} // namespace plantainlatch
