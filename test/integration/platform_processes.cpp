#include "integration/platform_processes.h"

#include <filesystem>
#include <fstream>

#include <sys/resource.h>

#include "absl/strings/str_cat.h"
#include "core/internal_assert.h"

namespace plantainlatch {

namespace {

    constexpr int seedCount = 3;
    constexpr std::uint64_t bytesPerKibibyte = 1024;

    /** Lowers the limit on open descriptors, which a child process inherits, while it exists. */
    class inherited_descriptor_limit {
    public:
        explicit inherited_descriptor_limit(std::size_t count)
        {
            getrlimit(RLIMIT_NOFILE, &m_former);
            rlimit lowered = m_former;
            if (count != 0)
                lowered.rlim_cur = count;
            internal_assert(setrlimit(RLIMIT_NOFILE, &lowered) == 0) << "the limit on descriptors can't be set";
        }
        ~inherited_descriptor_limit() { setrlimit(RLIMIT_NOFILE, &m_former); }
        inherited_descriptor_limit(const inherited_descriptor_limit&) = delete;
        inherited_descriptor_limit& operator=(const inherited_descriptor_limit&) = delete;

    private:
        rlimit m_former {};
    };

} // namespace

platform_processes::platform_processes(platform_layout layout)
    : m_layout(std::move(layout))
{
}

platform_processes::~platform_processes() = default;

network_address platform_processes::address(int number, std::uint16_t port) const
{
    return { absl::StrCat(m_layout.network, number), port };
}

std::string platform_processes::logFile(int number) const { return m_folder.file(absl::StrCat("m", number, ".log")); }

std::string platform_processes::settingsOf(int number, bool bootstrapsLog) const
{
    const auto quoted = [this, number](std::uint16_t port) {
        return absl::StrCat("\"", formatAddress(address(number, port)), "\"\n");
    };
    const auto& [domain, region] = m_layout.places[static_cast<std::size_t>(number - 1) % m_layout.places.size()];
    std::string text = absl::StrCat("machine: \"m", number, "\"\naddress: \"", address(number, 0).host,
        "\"\nfailure_domain: \"", domain, "\"\nregion: \"", region, "\"\nfailure_domains: {");
    for (const auto& [name, itsRegion] : m_layout.places)
        absl::StrAppend(&text, "\"", name, "\":\"", itsRegion, "\",");
    absl::StrAppend(&text, "}\ninternal_ports: [7660,7675]\nseeds: [");
    for (int seed = 1; seed <= seedCount; ++seed)
        absl::StrAppend(&text, "\"", formatAddress(address(seed, controlPort)), "\",");
    absl::StrAppend(&text, "]\nfound_log: ", bootstrapsLog ? "true" : "false",
        "\nreplicas_that_may_fail: ", m_layout.replicasThatMayFail,
        "\nrenewal_milliseconds: ", m_layout.renewalMilliseconds, "\nbounds: ", m_layout.bounds, "\n");
    if (m_layout.memoryMegabytes != 0)
        absl::StrAppend(&text, "memory_megabytes: ", m_layout.memoryMegabytes, "\n");
    if (isControl(number))
        absl::StrAppend(&text, "data_folder: \"", m_folder.path(), "/", number,
            "\"\ncontrol_address: ", quoted(controlPort), "lookup_address: ", quoted(lookupPort));
    else
        absl::StrAppend(&text, "caller_address: ", quoted(callerPort), "readiness_address: ", quoted(readyPort));
    return text;
}

void platform_processes::start(int number, bool bootstrapsLog)
{
    const std::string path = m_folder.file(absl::StrCat("m", number, ".yaml"));
    std::ofstream(path) << settingsOf(number, bootstrapsLog);
    const inherited_descriptor_limit limit(m_layout.maximumDescriptors);
    m_processes[number]
        = child_process::start("plantainlatch", { "platform", "--settings", path }, m_folder.path(), logFile(number));
}

void platform_processes::startAll(bool bootstrapsLog)
{
    for (int number = 1; number <= size(); ++number)
        start(number, bootstrapsLog);
}

byte_count platform_processes::memoryFigure(int number, const std::string& name) const
{
    std::ifstream status(absl::StrCat("/proc/", m_processes.at(number)->id(), "/status"));
    std::string key;
    std::uint64_t kibibytes = 0;
    while (status >> key) {
        if (key == name && status >> kibibytes)
            return byte_count(kibibytes * bytesPerKibibyte);
    }
    return byte_count(0);
}

std::size_t platform_processes::openDescriptors(int number) const
{
    std::error_code error;
    const std::filesystem::directory_iterator folder(
        absl::StrCat("/proc/", m_processes.at(number)->id(), "/fd"), error);
    return static_cast<std::size_t>(std::distance(begin(folder), end(folder)));
}

void platform_processes::killAll()
{
    for (auto& [number, process] : m_processes)
        process->kill();
}

} // namespace plantainlatch
