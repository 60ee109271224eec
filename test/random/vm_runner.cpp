#include "vm_runner.h"

#include <algorithm>
#include <deque>
#include <map>
#include <set>

#include "core/internal_assert.h"
#include "simulated_vm.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    constexpr duration stepTime = 100ms;
    constexpr duration callInterval = 25ms;
    constexpr duration capWindow = 1s;
    /** How many of the five replicas may have lost or full disks at the same time without loss of committed changes. */
    constexpr int maximumDiskFaults = 2;
    constexpr std::array<const char*, 6> domains { "a1", "b1", "c1", "a2", "b2", "c2" };

    region_id regionOfDomain(const std::string& domain) { return region_id(domain.substr(0, 1)); }

    declaration firstDeclaration()
    {
        declaration first;
        first.number = change_number(1);
        for (const char* region : { "a", "b", "c" }) {
            const std::string name = region;
            region_definition item { region_id(name),
                { failure_domain_id(name + "1"), failure_domain_id(name + "2") } };
            first.regions.added.push_back({ item, {} });
        }
        for (const char* name : { "booking", "billing" }) {
            service_definition item;
            item.id = service_id(name);
            item.slots = slot_count(std::string(name) == "booking" ? 4 : 2);
            item.connections = 100;
            item.defaultDeadline = 2s;
            item.maximumDeadline = 3s;
            item.maximumBody = byte_count(10'000);
            item.keyRetention = std::chrono::minutes(10);
            first.services.added.push_back({ item, {} });
        }
        first.shares.added.push_back({ { service_id("booking"), failure_domain_id("a1"), 100 }, {} });
        return first;
    }

    /** The state of one run: the VMs, the fake network, upstreams, callers and operators. */
    class simulation_run {
    public:
        explicit simulation_run(const run_plan& plan);
        ~simulation_run();
        simulation_run(const simulation_run&) = delete;
        simulation_run& operator=(const simulation_run&) = delete;

        run_result finish();

    private:
        void run();
        void addVms();
        void addUpstreams();
        void connect();
        void startVm(simulated_vm& vm);
        /** Makes each quota acquisition of a VM check the cap of the shift over all VMs. */
        void installCapCheck(simulated_vm& vm);
        void checkStep();
        void checkVm(simulated_vm& vm);

        simulated_vm& randomVm() { return *m_vms[m_runtime.random() % m_vms.size()]; }
        /** A random VM, or null if that VM is not running or is stopping. */
        simulated_vm* randomServingVm();
        duration randomUpTo(duration limit)
        {
            return duration(m_runtime.random() % static_cast<std::uint64_t>(limit.count()));
        }
        void schedule(duration delay, std::function<void()> action);

        void injectNext();
        void injectOne();
        void disturbMessages();
        void cutOneWay();
        void isolateVm();
        void killAndRestart(simulated_vm& vm, bool loseDisk);
        void fillDisk(simulated_vm& vm);
        void stopAndRestart(simulated_vm& vm);
        void crashRegion();
        void partitionRegions();
        void disturbUpstreams();
        /** The number of replicas whose disk fails or does not hold the state of a voter; without a leader,
         * maximumDiskFaults. */
        int diskFaults();

        void endFaults();
        /** Whether all VMs run and have leader contact, exactly one of them leads, all replicas have an intact disk,
         * and a declaration was accepted. */
        bool isRecovered();
        /** Reports a violation unless the VMs recover and all probes succeed within the recovery time. */
        void requireRecovery();
        void probeAll();

        run_plan m_plan;
        paused_runtime m_runtime;
        run_journal m_journal { m_runtime };
        fake_network m_network { m_runtime };
        fake_upstreams m_upstreams { m_runtime, m_journal };
        fake_callers m_callers { m_runtime, m_journal, m_upstreams };
        fake_operators m_operators { m_runtime, m_journal, m_upstreams };
        std::vector<vm_record> m_records;
        std::vector<std::unique_ptr<simulated_vm>> m_vms;
        std::set<std::pair<region_id, region_id>> m_partitioned;
        std::deque<time_point> m_acquisitions;
        bool m_injecting = false;
        std::set<std::string> m_pendingProbes;
    };

    simulation_run::simulation_run(const run_plan& plan)
        : m_plan(plan)
        , m_runtime(plan.seed)
    {
        // An isolated allocator may grant slots until its allocator lease expires, and a holder may use granted slots
        // until its slot lease expires.
        const slot_allocator_options slotDefaults;
        const allocator_lease_options leaseDefaults;
        const membership_options membershipDefaults;
        m_upstreams.quiesceLimit = leaseDefaults.lease + leaseDefaults.drift + membershipDefaults.appliedLag
            + slotDefaults.lease + slotDefaults.drift;
        connect();
        addVms();
        addUpstreams();
    }

    simulation_run::~simulation_run()
    {
        for (const auto& vm : m_vms)
            vm->kill();
    }

    void simulation_run::connect()
    {
        m_network.onSend = [this](const vm_id& from, const vm_id& to, const peer_message& message) {
            m_journal.hashOnly(from.value() + to.value() + std::to_string(message.index()));
        };
        m_network.delay = [this](const vm_id& from, const vm_id& to) -> duration {
            const auto regionOf = [this](const vm_id& id) {
                const auto found = std::find_if(
                    m_records.begin(), m_records.end(), [&id](const vm_record& item) { return item.id == id; });
                return found->region;
            };
            return (regionOf(from) == regionOf(to) ? 1ms : 12ms) + randomUpTo(500us);
        };
        m_upstreams.reaches = [this](const vm_id& vm, const region_id& region) {
            for (const vm_record& record : m_records) {
                if (record.id == vm)
                    return !m_partitioned.contains({ record.region, region });
            }
            return true;
        };
        m_upstreams.pickDirectory = [this] {
            simulated_vm* vm = randomServingVm();
            return vm == nullptr ? nullptr : vm->directory;
        };
        m_callers.pickEntry = [this]() -> reachable_entry {
            simulated_vm* vm = randomServingVm();
            return vm == nullptr ? reachable_entry {} : reachable_entry { vm->requests, vm->life, vm->record.id };
        };
        m_operators.pickVm = [this]() -> operated_vm {
            simulated_vm* vm = randomServingVm();
            return vm == nullptr ? operated_vm {} : operated_vm { vm->log, vm->control, vm->life };
        };
    }

    void simulation_run::addVms()
    {
        for (int i = 0; i < m_plan.vms; ++i) {
            vm_record record;
            record.id = vm_id("vm" + std::to_string(i + 1));
            record.failureDomain = failure_domain_id(domains[i % domains.size()]);
            record.region = regionOfDomain(record.failureDomain.value());
            record.replica = i < m_plan.replicas;
            m_records.push_back(record);
        }
        for (const vm_record& record : m_records) {
            m_vms.push_back(std::make_unique<simulated_vm>());
            m_vms.back()->record = record;
            m_vms.back()->disk = std::make_unique<fake_disk>(m_runtime);
        }
    }

    void simulation_run::addUpstreams()
    {
        std::uint16_t port = 1;
        for (const char* name : { "booking", "billing" }) {
            for (const std::string domain : domains) {
                upstream_announcement item;
                item.id = upstream_id(std::string(name) + "-" + domain);
                item.generation = upstream_generation(1);
                item.service = service_id(name);
                item.address = { "10.0.0.1", ++port };
                item.region = regionOfDomain(domain);
                item.failureDomain = failure_domain_id(domain);
                item.slots = slot_count(std::string(name) == "booking" ? 4 : 2);
                item.connections = 100;
                m_upstreams.add(item);
            }
        }
    }

    void simulation_run::startVm(simulated_vm& vm)
    {
        if (vm.running())
            return;
        const absl::Status status = vm.start({ m_runtime, m_network, m_upstreams, m_records, m_plan.options });
        m_journal.noteFault(
            "start of " + vm.record.id.value() + (status.ok() ? "" : ": " + std::string(status.message())));
        if (!status.ok())
            m_journal.reportViolation("a VM did not start: " + std::string(status.message()));
        installCapCheck(vm);
    }

    void simulation_run::installCapCheck(simulated_vm& vm)
    {
        if (vm.shifts == nullptr)
            return;
        vm.shifts->tryAcquire = [this, &vm, acquire = vm.shifts->tryAcquire](const shift_id& id) {
            const auto shift = vm.control->state().config.shifts.find(id);
            if (!acquire(id))
                return false;
            const time_point now = m_runtime.now();
            while (!m_acquisitions.empty() && m_acquisitions.front() + capWindow <= now)
                m_acquisitions.pop_front();
            m_acquisitions.push_back(now);
            if (m_acquisitions.size() > shift->second.capPerSecond)
                m_journal.reportViolation("a shift exceeded its rate cap through " + vm.record.id.value());
            return true;
        };
    }

    simulated_vm* simulation_run::randomServingVm()
    {
        simulated_vm& vm = randomVm();
        return vm.running() && !vm.stopping ? &vm : nullptr;
    }

    void simulation_run::schedule(duration delay, std::function<void()> action)
    {
        m_runtime.schedule(delay, std::move(action));
    }

    void simulation_run::checkStep()
    {
        std::string leaders;
        int count = 0;
        for (const auto& vm : m_vms) {
            if (!vm->running())
                continue;
            checkVm(*vm);
            if (vm->log->state().leading) {
                ++count;
                leaders += " " + vm->record.id.value();
            }
        }
        if (count > 1)
            m_journal.reportViolation("more than one leader at the same time:" + leaders);
    }

    void simulation_run::checkVm(simulated_vm& vm)
    {
        const log_index applied = vm.log->applied();
        if (applied < vm.highestApplied)
            m_journal.reportViolation("the applied index decreased on " + vm.record.id.value());
        vm.highestApplied = applied;
        const control_snapshot& state = vm.control->state();
        if (state.config.number < vm.highestNumber)
            m_journal.reportViolation("the configuration number in force decreased on " + vm.record.id.value());
        if (state.config.number > vm.highestNumber)
            m_operators.check(vm.record.id, state.history);
        vm.highestNumber = state.config.number;
    }

    void simulation_run::injectNext()
    {
        if (!m_injecting)
            return;
        injectOne();
        schedule(200ms + randomUpTo(2500ms), [this] { injectNext(); });
    }

    void simulation_run::injectOne()
    {
        switch (m_runtime.random() % 13) {
        case 0:
            return disturbMessages();
        case 1:
            return cutOneWay();
        case 2:
            return isolateVm();
        case 3:
            return killAndRestart(randomVm(), false);
        case 4:
            return killAndRestart(randomVm(), m_operators.isDeclared());
        case 5:
            return fillDisk(randomVm());
        case 6:
            return stopAndRestart(randomVm());
        case 7:
            return crashRegion();
        case 8:
            return partitionRegions();
        case 9:
            return disturbUpstreams();
        case 10:
            return m_upstreams.crash(m_upstreams.idOf(m_runtime.random() % m_upstreams.size()), 500ms + randomUpTo(5s));
        case 11:
            return m_upstreams.leave(m_upstreams.idOf(m_runtime.random() % m_upstreams.size()), 7s + randomUpTo(5s));
        default:
            for (std::size_t i = 0; i < m_upstreams.size(); i += 1 + m_runtime.random() % 2)
                m_upstreams.silence(randomVm().record.id, m_upstreams.idOf(i));
        }
    }

    void simulation_run::disturbMessages()
    {
        m_network.faults
            = { m_runtime.random() % 200, m_runtime.random() % 200, m_runtime.random() % 300, 100ms + randomUpTo(3s) };
        m_journal.noteFault("messages are lost, delayed and duplicated");
        schedule(randomUpTo(8s), [this] { m_network.faults = {}; });
    }

    void simulation_run::cutOneWay()
    {
        const vm_id from = randomVm().record.id;
        const vm_id to = randomVm().record.id;
        m_journal.noteFault("one-way partition from " + from.value() + " to " + to.value());
        m_network.cut(from, to);
        schedule(randomUpTo(10s), [this, from, to] { m_network.heal(from, to); });
    }

    void simulation_run::isolateVm()
    {
        const vm_id vm = randomVm().record.id;
        m_journal.noteFault("isolation of " + vm.value());
        m_network.isolate(vm);
        schedule(3s + randomUpTo(15s), [this, vm] { m_network.rejoin(vm); });
    }

    int simulation_run::diskFaults()
    {
        const auto leader = std::find_if(
            m_vms.begin(), m_vms.end(), [](const auto& vm) { return vm->running() && vm->log->state().leading; });
        if (leader == m_vms.end())
            return maximumDiskFaults;
        const std::set<replica_id> voters = (*leader)->log->voters().voters;
        int faults = 0;
        for (const auto& vm : m_vms) {
            const auto& state = vm->disk->content().state;
            const bool isIntact = state && voters.contains(state->self) && !vm->disk->failing;
            faults += vm->record.replica && !isIntact ? 1 : 0;
        }
        return faults;
    }

    void simulation_run::killAndRestart(simulated_vm& vm, bool loseDisk)
    {
        const bool loses = loseDisk && diskFaults() < maximumDiskFaults;
        m_journal.noteFault("kill of " + vm.record.id.value() + (loses ? " with its disk" : ""));
        vm.kill();
        if (loses)
            vm.disk->wipe();
        schedule(randomUpTo(6s), [this, &vm] { startVm(vm); });
    }

    void simulation_run::fillDisk(simulated_vm& vm)
    {
        if (!vm.record.replica || vm.disk->failing || diskFaults() >= maximumDiskFaults)
            return;
        m_journal.noteFault("full disk on " + vm.record.id.value());
        vm.disk->failing = true;
        schedule(2s + randomUpTo(6s), [this, &vm] {
            vm.disk->failing = false;
            if (m_runtime.random() % 2 == 0)
                killAndRestart(vm, false);
        });
    }

    void simulation_run::stopAndRestart(simulated_vm& vm)
    {
        if (!vm.running() || vm.stopping)
            return;
        m_journal.noteFault("graceful stop of " + vm.record.id.value());
        vm.stopping = true;
        const std::weak_ptr<bool> life = vm.life;
        vm.core->stop([this, &vm, life] {
            m_journal.noteFault("end of the graceful stop of " + vm.record.id.value());
            schedule(randomUpTo(3s), [this, &vm, life] {
                if (!life.expired())
                    vm.kill();
                startVm(vm);
            });
        });
    }

    void simulation_run::crashRegion()
    {
        const region_id region = randomVm().record.region;
        m_journal.noteFault("loss of region " + region.value());
        for (const auto& vm : m_vms) {
            if (vm->record.region == region)
                killAndRestart(*vm, false);
        }
        for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
            if (regionOfDomain(m_upstreams.idOf(i).value().substr(8)) == region)
                m_upstreams.crash(m_upstreams.idOf(i), 2s + randomUpTo(4s));
        }
    }

    void simulation_run::partitionRegions()
    {
        const region_id left = randomVm().record.region;
        const region_id right = randomVm().record.region;
        if (left == right)
            return;
        m_journal.noteFault("regions " + left.value() + " and " + right.value() + " are partitioned");
        const auto eachPair = [this, left, right](const std::function<void(const vm_id&, const vm_id&)>& act) {
            for (const vm_record& from : m_records) {
                for (const vm_record& to : m_records) {
                    const bool isAcross
                        = (from.region == left && to.region == right) || (from.region == right && to.region == left);
                    if (isAcross)
                        act(from.id, to.id);
                }
            }
        };
        eachPair([this](const vm_id& from, const vm_id& to) { m_network.cut(from, to); });
        m_partitioned.insert({ left, right });
        m_partitioned.insert({ right, left });
        schedule(1s + randomUpTo(10s), [this, eachPair, left, right] {
            eachPair([this](const vm_id& from, const vm_id& to) { m_network.heal(from, to); });
            m_partitioned.erase({ left, right });
            m_partitioned.erase({ right, left });
        });
    }

    void simulation_run::disturbUpstreams()
    {
        m_journal.noteFault("upstreams shed load, answer slowly and report a wrong load");
        m_upstreams.faults = { m_runtime.random() % 100, m_runtime.random() % 100, m_runtime.random() % 1000,
            m_runtime.random() % 1000 };
        schedule(randomUpTo(8s), [this] { m_upstreams.faults = {}; });
    }

    void simulation_run::endFaults()
    {
        m_journal.noteFault("the faults end");
        m_injecting = false;
        m_callers.stop();
        m_operators.stop();
        m_network.faults = {};
        m_network.healAll();
        m_partitioned.clear();
        m_upstreams.endFaults();
        for (const auto& vm : m_vms)
            vm->disk->failing = false;
    }

    bool simulation_run::isRecovered()
    {
        int leaders = 0;
        for (const auto& vm : m_vms) {
            if (!vm->running() || vm->stopping || !vm->log->state().current)
                return false;
            leaders += vm->log->state().leading ? 1 : 0;
        }
        return leaders == 1 && diskFaults() == 0 && m_operators.isDeclared();
    }

    void simulation_run::requireRecovery()
    {
        const time_point end = m_runtime.now() + m_plan.recoveryTime;
        while (!isRecovered() || !m_pendingProbes.empty()) {
            if (m_runtime.now() >= end)
                m_journal.reportViolation("no recovery after the faults ended; still expected: "
                    + (m_pendingProbes.empty() ? std::string("VMs, leader and disks recover")
                                               : *m_pendingProbes.begin()));
            if (isRecovered())
                probeAll();
            for (int i = 0; i < 20; ++i) {
                m_runtime.advance(stepTime);
                checkStep();
            }
            for (const auto& vm : m_vms)
                startVm(*vm);
        }
    }

    void simulation_run::probeAll()
    {
        m_operators.endDrains();
        for (const auto& vm : m_vms) {
            for (const bool keyed : { false, true }) {
                const std::string name = vm->record.id.value() + (keyed ? " completes a POST" : " completes a GET");
                if (!m_pendingProbes.contains(name))
                    continue;
                m_callers.probe({ vm->requests, vm->life, vm->record.id }, keyed, [this, name](bool completed) {
                    if (completed)
                        m_pendingProbes.erase(name);
                });
            }
        }
        if (m_pendingProbes.contains("a declaration is accepted"))
            m_operators.probe([this](bool accepted) {
                if (accepted)
                    m_pendingProbes.erase("a declaration is accepted");
            });
    }

    void simulation_run::run()
    {
        for (const auto& vm : m_vms)
            startVm(*vm);
        m_operators.declareFirst(firstDeclaration());
        m_callers.start(callInterval);
        m_operators.start();
        m_injecting = true;
        schedule(randomUpTo(5s), [this] { injectNext(); });
        const time_point end = m_runtime.now() + m_plan.faultTime;
        while (m_runtime.now() < end) {
            m_runtime.advance(stepTime);
            checkStep();
        }
        endFaults();
        m_pendingProbes = { "a declaration is accepted" };
        for (const auto& vm : m_vms) {
            m_pendingProbes.insert(vm->record.id.value() + " completes a GET");
            m_pendingProbes.insert(vm->record.id.value() + " completes a POST");
        }
        requireRecovery();
    }

    run_result simulation_run::finish()
    {
        run_result result;
        const internal_error_handler former = setInternalErrorHandler(
            [this](const std::string& text) { m_journal.reportViolation("internal error: " + text); });
        try {
            run();
        } catch (const run_violation& violation) {
            result.violation = violation.what();
        }
        setInternalErrorHandler(former);
        result.hash = m_journal.hash();
        result.completed = m_callers.completed();
        result.trace.assign(m_journal.faults().begin(), m_journal.faults().end());
        result.trace.emplace_back("latest events:");
        result.trace.insert(result.trace.end(), m_journal.latest().begin(), m_journal.latest().end());
        return result;
    }

} // namespace

run_result runVms(const run_plan& plan)
{
    simulation_run run(plan);
    return run.finish();
}

} // namespace plantainlatch
