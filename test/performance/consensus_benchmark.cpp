/** \file
 * Measures the replicated log: wall time for each change, commit latency, time to elect a new leader, and time and
 * bytes for a restarted VM to catch up. The wall time is that of the simulation of all VMs on one thread. All other
 * times are simulated, with network delays between regions of 12 ms and 55 ms, as in the users' deployment, and 2 ms
 * for each disk sync.
 */

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <vector>

#include "codec/peer_message_codec.h"
#include "support/consensus_fixture.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    constexpr int vmCount = 7;
    constexpr int replicaCount = 5;
    constexpr int regionCount = 3;

    int regionOfVm(const vm_id& vm) { return (vm.value().back() - '1') % regionCount; }

    std::size_t encodedSize(const peer_message& message)
    {
        static const auto codec = *peer_message_codec::create();
        return codec->encode(message).size();
    }

    void setDelays(consensus_cluster& cluster, duration interRegionDelay)
    {
        cluster.network.delay = [interRegionDelay](const vm_id& from, const vm_id& to) -> duration {
            return regionOfVm(from) == regionOfVm(to) ? 1ms : interRegionDelay;
        };
    }

    double milliseconds(duration span) { return std::chrono::duration<double, std::milli>(span).count(); }

    duration quantile(std::vector<duration> values, double part)
    {
        std::sort(values.begin(), values.end());
        return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
    }

    void measureTimePerChange()
    {
        constexpr std::uint64_t changes = 20'000;
        constexpr std::uint64_t batch = 200;
        consensus_cluster cluster(vmCount, replicaCount);
        cluster.startAll();
        cluster.waitForLeader();
        const int leader = cluster.leader();
        const auto began = std::chrono::steady_clock::now();
        for (std::uint64_t first = 1; first <= changes; first += batch) {
            for (std::uint64_t i = first; i < first + batch; ++i)
                cluster.propose(leader, i);
            cluster.until([&] { return cluster.results.size() == first + batch - 1; });
        }
        const std::chrono::duration<double, std::micro> spent = std::chrono::steady_clock::now() - began;
        std::printf("wall time for one change, %d replicas and %d VMs together: %.1f us (%llu changes)\n", replicaCount,
            vmCount, spent.count() / static_cast<double>(changes), static_cast<unsigned long long>(changes));
    }

    std::vector<duration> commitLatencies(consensus_cluster& cluster, int proposer, std::uint64_t& number)
    {
        std::vector<duration> latencies;
        for (int i = 0; i < 40; ++i) {
            const time_point began = cluster.runtime.now();
            cluster.propose(proposer, ++number);
            while (!cluster.results.contains(number))
                cluster.advance(100us);
            latencies.push_back(cluster.runtime.now() - began);
            cluster.advance(37ms);
        }
        return latencies;
    }

    void measureCommitLatency(duration interRegionDelay)
    {
        consensus_cluster cluster(vmCount, replicaCount);
        setDelays(cluster, interRegionDelay);
        cluster.startAll();
        cluster.waitForLeader();
        cluster.advance(1s);
        const int leader = cluster.leader();
        std::uint64_t number = 0;
        for (int proposer = 1; proposer <= vmCount; ++proposer) {
            const std::vector<duration> latencies = commitLatencies(cluster, proposer, number);
            const bool isNear = regionOfVm(cluster.name(proposer)) == regionOfVm(cluster.name(leader));
            const char* location = proposer == leader ? "the leader"
                : isNear                              ? "the leader's region"
                                                      : "another region";
            std::printf(
                "commit latency, %.0f ms between regions, proposed by vm%d (%s): median %.1f ms, slowest %.1f ms\n",
                milliseconds(interRegionDelay), proposer, location, milliseconds(quantile(latencies, 0.5)),
                milliseconds(quantile(latencies, 1)));
        }
    }

    void measureNewLeader(duration interRegionDelay, bool graceful)
    {
        std::vector<duration> spans;
        for (std::uint64_t seed = 1; seed <= 100; ++seed) {
            consensus_cluster cluster(vmCount, replicaCount, seed);
            setDelays(cluster, interRegionDelay);
            cluster.startAll();
            cluster.waitForLeader();
            cluster.advance(1s);
            const int first = cluster.leader();
            const time_point began = cluster.runtime.now();
            if (graceful)
                cluster.vm(first).runningKernel->stop([] {});
            else
                cluster.kill(first);
            cluster.until([&] { return cluster.leader() != 0 && cluster.leader() != first; });
            spans.push_back(cluster.runtime.now() - began);
        }
        std::printf("new leader after a %s, %.0f ms between regions: median %.0f ms, 99%% %.0f ms, slowest %.0f ms\n",
            graceful ? "graceful stop" : "kill", milliseconds(interRegionDelay), milliseconds(quantile(spans, 0.5)),
            milliseconds(quantile(spans, 0.99)), milliseconds(quantile(spans, 1)));
    }

    void measureCatchUp(std::uint64_t snapshotEvery)
    {
        consensus_options options;
        options.snapshotEvery = snapshotEvery;
        options.trailingEntries = snapshotEvery / 4;
        consensus_cluster cluster(vmCount, replicaCount, 1, options);
        setDelays(cluster, 55ms);
        cluster.startAll();
        cluster.waitForLeader();
        cluster.kill(vmCount);
        for (std::uint64_t i = 1; i <= 500; ++i) {
            cluster.propose(1, i, 60s);
            cluster.advance(2ms);
        }
        cluster.until([&] { return cluster.results.size() == 500; });
        std::size_t bytes = 0;
        cluster.network.onSend = [&bytes](const vm_id&, const vm_id& to, const peer_message& message) {
            bytes += to == consensus_cluster::name(vmCount) ? encodedSize(message) : 0;
        };
        const time_point began = cluster.runtime.now();
        (void)cluster.start(vmCount);
        cluster.until([&] { return cluster.vm(vmCount).control->numbers().size() == 500; });
        std::printf("catching up with 500 changes, snapshot every %llu: %.0f ms, %zu bytes\n",
            static_cast<unsigned long long>(snapshotEvery), milliseconds(cluster.runtime.now() - began), bytes);
    }

    void measureIdleTraffic()
    {
        consensus_cluster cluster(vmCount, replicaCount);
        setDelays(cluster, 55ms);
        cluster.startAll();
        cluster.waitForLeader();
        cluster.advance(2s);
        std::size_t sent = 0;
        std::size_t byFollower = 0;
        const vm_id leader = cluster.name(cluster.leader());
        const vm_id follower = cluster.name(vmCount);
        cluster.network.onSend = [&](const vm_id& from, const vm_id&, const peer_message& message) {
            const std::size_t bytes = encodedSize(message);
            sent += from == leader ? bytes : 0;
            byFollower += from == follower ? bytes : 0;
        };
        cluster.advance(10s);
        std::printf("idle: the leader sends %zu bytes a second to %d VMs, a follower %zu\n", sent / 10, vmCount - 1,
            byFollower / 10);
    }

    void runAll()
    {
        measureTimePerChange();
        measureCommitLatency(12ms);
        measureCommitLatency(55ms);
        for (const duration delay : { duration(12ms), duration(55ms) }) {
            measureNewLeader(delay, false);
            measureNewLeader(delay, true);
        }
        measureCatchUp(1000);
        measureCatchUp(100);
        measureIdleTraffic();
    }

} // namespace

} // namespace plantainlatch

int main()
{
    plantainlatch::runAll();
    return 0;
}
