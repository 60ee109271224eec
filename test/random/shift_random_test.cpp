#include <algorithm>
#include <deque>

#include <catch2/catch.hpp>

#include "decision/shifts/shift_service.h"
#include "support/control_cluster.h"
#include "support/control_fixture.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    /** VMs that use as much of one shift's rate cap as they can, under random leader changes and partitions. */
    class shift_random_fixture {
    protected:
        void begin(std::uint64_t seed, std::uint32_t cap, const shift_options& options)
        {
            capPerSecond = cap;
            cluster = std::make_unique<control_cluster>(
                seed, 5, membership_options {}, [this, options](control_cluster& owner, cluster_vm& vm) {
                    services.push_back(*shift_service::create(owner.runtime.hooks(), vm.settings, options));
                    vm.root->add(services.back()->asService());
                });
            declaration content = threeRegionDeclaration();
            content.shifts.added = { { { shift, service_id("booking"), failure_domain_id("kokura"),
                                           failure_domain_id("kirishima"), 100, cap, 50, 2s },
                {} } };
            cluster->apply(apply_declaration { content });
        }

        std::uint64_t randomBelow(std::uint64_t bound) { return cluster->runtime.random() % bound; }

        /** Sends the requests of one millisecond: two from the busy VM, which changes at random, and one from each
         * other VM with a probability of 1/20. */
        void sendRequests()
        {
            if (randomBelow(400) == 0)
                busyVm = randomBelow(cluster->vms.size());
            std::uint64_t position = 0;
            for (auto& [id, vm] : cluster->vms) {
                const std::uint64_t requests = position++ == busyVm ? 2 : (randomBelow(20) == 0 ? 1 : 0);
                for (std::uint64_t i = 0; i < requests; ++i) {
                    if (!vm->port<shift_port>(port_names::shifts).tryAcquire(shift))
                        continue;
                    admittedAt.push_back(cluster->runtime.now());
                    ++totalAdmitted;
                }
            }
            while (!admittedAt.empty() && admittedAt.front() + 1s <= cluster->runtime.now())
                admittedAt.pop_front();
            peakInOneSecond = std::max(peakInOneSecond, admittedAt.size());
        }

        void injectFault()
        {
            const std::string name(1, static_cast<char>('a' + randomBelow(5)));
            switch (randomBelow(6000)) {
            case 0:
            case 1:
                cluster->setLeader(name);
                break;
            case 2:
                if (vm_id(name) != cluster->leader)
                    cluster->cut(name);
                break;
            case 3:
            case 4:
                cluster->heal(name);
                break;
            default:
                break;
            }
            if (cluster->isCut(cluster->leader))
                cluster->heal(cluster->leader.value());
        }

        void run(duration span, bool withFaults)
        {
            for (duration passed {}; passed < span; passed += 1ms) {
                cluster->runtime.advance(1ms);
                sendRequests();
                if (withFaults)
                    injectFault();
            }
        }

        const shift_id shift { "move" };
        std::uint32_t capPerSecond = 0;
        std::unique_ptr<control_cluster> cluster;
        std::vector<std::unique_ptr<shift_service>> services;
        std::uint64_t busyVm = 0;
        std::deque<time_point> admittedAt;
        std::size_t peakInOneSecond = 0;
        std::uint64_t totalAdmitted = 0;
    };

} // namespace

TEST_CASE_METHOD(shift_random_fixture, "shift.random_partitions_and_leaders.never_exceed_the_cap")
{
    const std::uint64_t seed = GENERATE(range(1, 101));
    const std::uint32_t caps[] = { 1, 3, 10, 40, 200 };
    INFO("seed " << seed);
    begin(seed, caps[seed % 5], {});
    run(60s, true);
    INFO("peak in one second " << peakInOneSecond << " of " << capPerSecond << ", admitted " << totalAdmitted);
    REQUIRE(peakInOneSecond <= capPerSecond);
    REQUIRE(totalAdmitted > 0);
}

TEST_CASE_METHOD(shift_random_fixture, "shift.without_failures.uses_most_of_the_cap")
{
    begin(5, 200, {});
    run(20s, false);
    REQUIRE(peakInOneSecond <= 200);
    REQUIRE(peakInOneSecond > 140);
}

TEST_CASE_METHOD(shift_random_fixture, "shift.without_counting_earlier_quotas.exceeds_the_cap")
{
    shift_options options;
    options.cap.countEarlierQuotas = false;
    begin(1, 40, options);
    run(60s, true);
    REQUIRE(peakInOneSecond > 40);
}

} // namespace plantainlatch
