#include "integration/test_system.h"

#include <algorithm>
#include <fstream>
#include <random>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"

namespace plantainlatch {

namespace {

    constexpr int replicaCount = 3;
    constexpr int callerPort = 7080;
    constexpr int peerPort = 7081;
    constexpr int proxyPort = 7082;
    constexpr int upstreamPort = 9001;
    constexpr int maximumUpstreamCount = 12;
    /** The last octets of the addresses in the system's loopback network. */
    constexpr int proxyHost = 200;
    constexpr int upstreamHost = 201;
    constexpr int upstreamRouteHost = 202;
    constexpr int peerRouteHost = 100;
    constexpr int lockHost = 250;
    constexpr int maximumVmCount = 9;
    constexpr duration startLimit = std::chrono::seconds(20);
    constexpr duration stopLimit = std::chrono::seconds(20);
    constexpr duration checkInterval = std::chrono::milliseconds(50);
    constexpr duration loadExitLimit = std::chrono::seconds(30);

    const std::vector<std::pair<std::string, std::string>>& locations()
    {
        static const std::vector<std::pair<std::string, std::string>> all { { "north", "north-a" },
            { "south", "south-a" }, { "west", "west-a" } };
        return all;
    }

    const std::pair<std::string, std::string>& locationOf(int vm)
    {
        return locations()[static_cast<std::size_t>(vm - 1) % locations().size()];
    }

    /** Reserves a network for this test system by binding a socket to its lock address; -1 if another test system has
     * reserved it. */
    int tryLock(const std::string& network)
    {
        const int lock = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(callerPort);
        inet_pton(AF_INET, absl::StrCat(network, ".", lockHost).c_str(), &address.sin_addr);
        if (bind(lock, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0)
            return lock;
        close(lock);
        return -1;
    }

    const char* const firstDeclaration = R"(number: 1
replaces: 0
note: first
accept_risks: [no-upstream]
regions:
  add:
    - {id: north, failure_domains: [north-a]}
    - {id: south, failure_domains: [south-a]}
    - {id: west, failure_domains: [west-a]}
links:
  add:
    - {between: [north, south], budget: 4Gbit/s}
    - {between: [north, west], budget: 4Gbit/s}
    - {between: [south, west], budget: 4Gbit/s}
services:
  add:
    - id: work
      slots: 4
      connections: 360
      default_deadline: 5s
      maximum_deadline: 10s
      maximum_body: 1MiB
      key_retention: 1h
)";

} // namespace

test_system::test_system(test_system_options options)
    : m_options(options)
{
    std::random_device device;
    while (m_networkLock < 0) {
        m_network = absl::StrCat("127.", 20 + device() % 200, ".", device() % 250);
        m_networkLock = tryLock(m_network);
    }
    writeFile("shared.key", std::string(48, 'k'));
    if (m_options.throughProxy)
        startProxy();
    for (int vm = 1; vm <= vmCount(); ++vm)
        writeFile(absl::StrCat("e", vm, ".yaml"), settingsOf(vm));
}

test_system::~test_system()
{
    if (std::uncaught_exceptions() > 0)
        writeStateDumps();
    m_upstreams.clear();
    m_vms.clear();
    m_proxy.reset();
    close(m_networkLock);
    if (std::uncaught_exceptions() > 0) {
        std::fprintf(stderr, "logs are kept in %s\n", m_folder.path().c_str());
        m_folder.keep();
    }
}

void test_system::writeStateDumps()
{
    for (const auto& [vm, process] : m_vms) {
        const auto answer = m_caller.send(callerAddress(vm), { "GET", "/v1/dump", {}, {}, std::chrono::seconds(1) });
        std::ofstream(file(absl::StrCat("dump-e", vm, ".json"))) << (answer ? answer->body : "no answer");
    }
}

std::string test_system::host(int number) const { return absl::StrCat(m_network, ".", number); }

network_address test_system::callerAddress(int vm) const { return { host(vm), callerPort }; }

network_address test_system::peerAddress(int vm) const { return { host(vm), peerPort }; }

network_address test_system::peerRoute(int from, int to) const
{
    return { host(peerRouteHost + from * (maximumVmCount + 1) + to), peerPort };
}

network_address test_system::upstreamAddress(int number) const
{
    return { host(upstreamHost), static_cast<std::uint16_t>(upstreamPort + number) };
}

network_address test_system::upstreamRoute(int number) const
{
    return { host(upstreamRouteHost), static_cast<std::uint16_t>(upstreamPort + number) };
}

void test_system::writeFile(const std::string& name, const std::string& text) const
{
    std::ofstream stream(file(name));
    stream << text;
    REQUIRE(stream.flush());
}

std::string test_system::settingsOf(int vm) const
{
    std::string text = absl::StrCat("vm: e", vm, "\nshared_key_file: shared.key\nlookup_cache_time: 500ms\nvms:\n");
    if (vm <= replicaCount)
        absl::StrAppend(&text, "data_folder: state-e", vm, "\n");
    std::string list;
    for (int other = 1; other <= vmCount(); ++other) {
        const bool isDirect = other == vm || !m_options.throughProxy;
        absl::StrAppend(&list, "  - {vm: e", other, ", region: ", locationOf(other).first,
            ", failure_domain: ", locationOf(other).second, ", caller_address: \"", formatAddress(callerAddress(other)),
            "\", peer_address: \"", formatAddress(isDirect ? peerAddress(other) : peerRoute(vm, other)),
            "\", replica: ", other <= replicaCount ? "true" : "false", "}\n");
    }
    text.insert(text.find("vms:\n") + 5, list);
    return text;
}

void test_system::startProxy()
{
    std::vector<std::string> arguments { "--control", formatAddress({ host(proxyHost), proxyPort }) };
    const auto addRoute = [&](const std::string& name, const network_address& listen, const network_address& target) {
        arguments.push_back("--route");
        arguments.push_back(absl::StrCat(name, "=", formatAddress(listen), "/", formatAddress(target)));
    };
    for (int from = 1; from <= vmCount(); ++from) {
        for (int to = 1; to <= vmCount(); ++to) {
            if (from != to)
                addRoute(absl::StrCat("peer-", from, "-", to), peerRoute(from, to), peerAddress(to));
        }
    }
    for (int i = 0; i < maximumUpstreamCount; ++i)
        addRoute(absl::StrCat("upstream-", i), upstreamRoute(i), upstreamAddress(i));
    m_proxy = child_process::start("fault_proxy", arguments, m_folder.path(), file("proxy.log"));
    waitUntil("the fault proxy", startLimit, [this] {
        return m_caller.send({ host(proxyHost), proxyPort }, { "GET", "/routes" }).has_value();
    });
}

std::vector<std::string> test_system::entryOptions() const
{
    std::vector<std::string> options;
    for (int vm = 1; vm <= vmCount(); ++vm) {
        options.push_back("--entry");
        options.push_back(formatAddress(callerAddress(vm)));
    }
    return options;
}

void test_system::start()
{
    for (int vm = 1; vm <= vmCount(); ++vm)
        startVm(vm);
    for (int vm = 1; vm <= vmCount(); ++vm)
        waitUntilCurrent(vm, 0);
    waitUntil("the first declaration", startLimit,
        [this] { return apply(1, firstDeclaration, std::chrono::seconds(3)) == 0; });
    for (int vm = 1; vm <= vmCount(); ++vm)
        waitUntilCurrent(vm, 1);
}

void test_system::startVm(int vm)
{
    m_vms[vm] = child_process::start("plantainlatch", { "serve", "--settings", absl::StrCat("e", vm, ".yaml") },
        m_folder.path(), file(absl::StrCat("e", vm, ".log")));
}

int test_system::stopVm(int vm)
{
    m_vms.at(vm)->terminate();
    return waitForExit(vm);
}

int test_system::waitForExit(int vm) { return m_vms.at(vm)->waitForExit(stopLimit).value_or(-1); }

void test_system::signalVm(int vm, int number) { m_vms.at(vm)->signal(number); }

std::uint64_t test_system::inForce(int vm)
{
    const nlohmann::json json = status(vm);
    return json.is_null() ? 0 : json.value("in_force_here", std::uint64_t(0));
}

void test_system::killVm(int vm) { m_vms.at(vm)->kill(); }

nlohmann::json test_system::status(int vm)
{
    const auto answer = m_caller.send(callerAddress(vm), { "GET", "/v1/status", {}, {}, std::chrono::seconds(2) });
    const nlohmann::json json = answer ? nlohmann::json::parse(answer->body, nullptr, false) : nlohmann::json();
    return json.is_object() ? json : nlohmann::json();
}

int test_system::leaderKnownBy(int vm)
{
    const nlohmann::json json = status(vm);
    const std::string leader = json.is_null() ? "" : json.value("leader", "");
    return leader.size() == 2 ? leader[1] - '0' : 0;
}

void test_system::waitUntilCurrent(int vm, std::uint64_t number)
{
    waitUntil(absl::StrCat("e", vm, " with number ", number), startLimit, [&] {
        const nlohmann::json json = status(vm);
        return !json.is_null() && !json.value("leader", std::string()).empty()
            && json.value("in_force_here", 0U) >= number;
    });
}

int test_system::apply(int vm, const std::string& yaml, duration timeout)
{
    const std::string name = absl::StrCat("declaration-", ++m_applyCount, ".yaml");
    writeFile(name, yaml);
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
    const auto process = child_process::start("plantainlatch",
        { "apply", "--entry", formatAddress(callerAddress(vm)), "--timeout", absl::StrCat(milliseconds, "ms"), name },
        m_folder.path(), file("apply.log"));
    return process->waitForExit(timeout + std::chrono::seconds(5)).value_or(-1);
}

std::string test_system::regionDeclaration(int number, int replaces, const std::string& note)
{
    return absl::StrCat("number: ", number, "\nreplaces: ", replaces, "\nnote: ", note,
        "\naccept_risks: [no-upstream]\nregions:\n  add:\n    - {id: ", note, ", failure_domains: [", note, "-a]}\n");
}

void test_system::startUpstreams(int count, bool separateProcesses, const std::vector<std::string>& extraOptions)
{
    const int processes = separateProcesses ? count : 1;
    for (int i = 0; i < processes; ++i) {
        std::vector<std::string> arguments { "--service", "work", "--slots", "4", "--drain-time", "2s", "--record",
            "record", "--id", absl::StrCat("work-", m_upstreamCount), "--count",
            absl::StrCat(separateProcesses ? 1 : count), "--address", formatAddress(upstreamAddress(m_upstreamCount)) };
        if (m_options.throughProxy) {
            arguments.push_back("--announce");
            arguments.push_back(formatAddress(upstreamRoute(m_upstreamCount)));
        }
        for (std::size_t location = 0; location < locations().size(); ++location) {
            const auto& [region, domain] = locations()[(location + static_cast<std::size_t>(m_upstreamCount)) % 3];
            arguments.insert(arguments.end(), { "--place", absl::StrCat(region, "/", domain) });
        }
        const std::vector<std::string> entries = entryOptions();
        arguments.insert(arguments.end(), entries.begin(), entries.end());
        arguments.insert(arguments.end(), extraOptions.begin(), extraOptions.end());
        m_upstreams.push_back(
            child_process::start("upstream_standin", arguments, m_folder.path(), file("upstreams.log")));
        m_upstreamCount += separateProcesses ? 1 : count;
    }
    REQUIRE(m_upstreamCount <= maximumUpstreamCount);
    waitUntilServed();
}

int test_system::runningUpstreams()
{
    return static_cast<int>(std::count_if(
        m_upstreams.begin(), m_upstreams.end(), [](const auto& process) { return process->isRunning(); }));
}

void test_system::waitUntilServed()
{
    for (const auto& [vm, process] : m_vms) {
        if (!process->isRunning())
            continue;
        waitUntil(absl::StrCat("an answer through e", vm), startLimit, [this, number = vm] {
            const auto answer = m_caller.send(callerAddress(number), { "GET", "/s/work/ready" });
            return answer && answer->status == 200;
        });
    }
}

load_run test_system::startLoad(double rate, duration length, const std::string& mix)
{
    load_run load;
    load.reportFile = file(absl::StrCat("load-", ++m_loadCount, ".json"));
    std::vector<std::string> arguments { "--service", "work", "--rate", absl::StrCat(rate), "--duration",
        absl::StrCat(std::chrono::duration_cast<std::chrono::milliseconds>(length).count(), "ms"), "--mix", mix,
        "--timeout", "10s", "--json", load.reportFile };
    for (const auto& [region, domain] : locations())
        arguments.insert(arguments.end(), { "--near", domain });
    const std::vector<std::string> entries = entryOptions();
    arguments.insert(arguments.end(), entries.begin(), entries.end());
    load.process = child_process::start("load_tool", arguments, m_folder.path(), file("load.log"));
    return load;
}

nlohmann::json test_system::finishLoad(load_run& load)
{
    REQUIRE(load.process->waitForExit(loadExitLimit + std::chrono::seconds(60)) == 0);
    std::ifstream stream(load.reportFile);
    nlohmann::json report = nlohmann::json::parse(stream, nullptr, false);
    REQUIRE(report.is_object());
    INFO(report.dump(2));
    REQUIRE(report["sent"].get<std::uint64_t>() > 0);
    return report;
}

void test_system::setFaults(const std::string& routes, const std::string& json)
{
    const auto answer = m_caller.send(
        { host(proxyHost), proxyPort }, { "PUT", absl::StrCat("/routes/", routes, "/faults"), {}, json });
    REQUIRE((answer && answer->status == 200));
}

void test_system::commandProxy(const std::string& routes, const std::string& command)
{
    const auto answer
        = m_caller.send({ host(proxyHost), proxyPort }, { "POST", absl::StrCat("/routes/", routes, "/", command) });
    REQUIRE((answer && answer->status == 200));
}

std::vector<std::string> test_system::recordedLines(const std::string& kind)
{
    std::vector<std::string> lines;
    std::ifstream stream(file("record"));
    for (std::string line; std::getline(stream, line);) {
        if (line.find(" " + kind + " ") != std::string::npos)
            lines.push_back(line);
    }
    return lines;
}

std::size_t test_system::requestsRunTwice()
{
    std::map<std::string, int> runs;
    for (const std::string& line : recordedLines("POST")) {
        const std::size_t start = line.find(" POST ") + 6;
        ++runs[line.substr(start, line.find(' ', start) - start)];
    }
    return static_cast<std::size_t>(
        std::count_if(runs.begin(), runs.end(), [](const auto& item) { return item.second > 1; }));
}

void test_system::waitUntil(const std::string& what, duration limit, const std::function<bool()>& isDone)
{
    const time_point end = steadyNow() + limit;
    while (!isDone()) {
        INFO(what << ": not reached within the time limit");
        REQUIRE(steadyNow() < end);
        pause(checkInterval);
    }
}

} // namespace plantainlatch
