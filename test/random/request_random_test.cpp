#include <catch2/catch.hpp>

#include "support/broken_invariant.h"
#include "support/from_environment.h"
#include "support/request_cluster.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;
    using kind = call_behaviour::kind;

    constexpr std::size_t entryCount = 4;
    constexpr std::size_t upstreamCount = 6;
    constexpr std::uint32_t slotsPerUpstream = 1;
    constexpr const char* submissionHeader = "X-Submission";

    /** A request that a caller sent. */
    struct submission {
        std::size_t entry = 0;
        request_id id;
        caller_request content;
        std::optional<caller_answer> answer;
        /** The caller cancelled it or its entry crashed; an answer after that violates the guarantees. */
        bool abandoned = false;
        int sends = 1;
    };

    /** Sends random requests to a cluster with random faults and checks the guarantees given to callers. */
    class random_run {
    public:
        random_run(std::uint64_t seed, const request_options& options)
            : m_cluster(seed, entryCount, upstreamCount, slotsPerUpstream, options)
        {
            m_cluster.upstreams.restartAfter = 2s;
            m_cluster.upstreams.behaviour = [this](const upstream_call& call) { return callBehaviour(call); };
            m_cluster.upstreams.onCall = [this](const upstream_call& call) { checkCall(call); };
            for (std::size_t entry = 0; entry < entryCount; ++entry)
                setFaults(entry);
        }

        void run(int steps)
        {
            for (int i = 0; i < steps; ++i) {
                step();
                m_cluster.runtime.advance(std::chrono::milliseconds(below(12)));
            }
            m_faultsOff = true;
            m_cluster.runtime.advance(60s);
            checkEnd();
        }

        std::size_t answered = 0;

    private:
        std::uint64_t below(std::uint64_t bound) { return m_cluster.runtime.random() % bound; }
        bool oneIn(std::uint64_t count) { return below(count) == 0; }

        void setFaults(std::size_t entry)
        {
            m_cluster.entries[entry].log->applyLag = std::chrono::milliseconds(below(80));
            m_cluster.entries[entry].log->behaviour = [this](const control_command&) { return proposalBehaviour(); };
        }

        proposal_behaviour proposalBehaviour()
        {
            proposal_behaviour behaviour;
            behaviour.delay = std::chrono::milliseconds(1 + below(30));
            if (m_faultsOff)
                return behaviour;
            if (oneIn(20))
                behaviour.delay = std::chrono::milliseconds(below(4000));
            behaviour.committed = !oneIn(30);
            behaviour.answered = !oneIn(30);
            return behaviour;
        }

        call_behaviour callBehaviour(const upstream_call& call)
        {
            if (call.target == "/bad")
                return { kind::Crash, 10ms };
            const auto delay = std::chrono::milliseconds(5 + below(40));
            if (m_faultsOff || !oneIn(6))
                return { kind::Answer, oneIn(40) ? std::chrono::milliseconds(below(2500)) : delay };
            constexpr kind faults[] = { kind::ConnectFailed, kind::ConnectionLimit, kind::MarkedRefusal,
                kind::UnmarkedRefusal, kind::LostRequest, kind::LostAnswer, kind::Silent };
            return { faults[below(std::size(faults))], delay };
        }

        void step()
        {
            const std::uint64_t choice = below(1000);
            if (choice < 400)
                sendLookup();
            else if (choice < 800)
                sendOrder();
            else if (choice < 880)
                resend();
            else if (choice < 920)
                leave();
            else if (choice < 924)
                restart(below(entryCount));
            else if (choice < 930)
                sendCrashing();
        }

        caller_request requestOf(const std::string& method, const std::string& target)
        {
            caller_request request;
            request.service = service_id("taller");
            request.method = method;
            request.target = target;
            request.deadline = std::chrono::milliseconds(100 + below(2000));
            return request;
        }

        void sendLookup() { send(below(entryCount), requestOf("GET", "/frames/" + std::to_string(below(200)))); }

        void sendOrder()
        {
            caller_request request = requestOf("POST", "/orders");
            request.body = "order-" + std::to_string(++m_lastOrder);
            if (!oneIn(4))
                request.key = idempotency_key("key-" + std::to_string(m_lastOrder));
            send(below(entryCount), std::move(request));
        }

        void sendCrashing()
        {
            for (std::size_t entry = 0; entry < entryCount; ++entry)
                send(entry, requestOf("GET", "/bad"));
        }

        /** Resends a random earlier request through any entry, if it has an idempotency key. */
        void resend()
        {
            if (m_submissions.empty())
                return;
            const submission former = *m_submissions[below(m_submissions.size())];
            if (former.content.key)
                send(below(entryCount), former.content);
        }

        void send(std::size_t entry, caller_request request)
        {
            const std::size_t number = m_submissions.size();
            request.headers = { { submissionHeader, std::to_string(number) } };
            m_submissions.push_back(std::make_unique<submission>());
            submission& sent = *m_submissions.back();
            sent.entry = entry;
            sent.content = request;
            sent.id = m_cluster.entries[entry].port->submit(
                std::move(request), [this, &sent](caller_answer answer) { onAnswer(sent, std::move(answer)); });
        }

        void leave()
        {
            if (m_submissions.empty())
                return;
            const std::size_t recent = std::min<std::size_t>(m_submissions.size(), 20);
            submission& left = *m_submissions[m_submissions.size() - 1 - below(recent)];
            if (left.answer || left.abandoned)
                return;
            left.abandoned = true;
            m_cluster.entries[left.entry].port->cancel(left.id);
        }

        void restart(std::size_t entry)
        {
            for (const auto& sent : m_submissions)
                sent->abandoned = sent->abandoned || (sent->entry == entry && !sent->answer);
            m_cluster.kill(entry);
            m_cluster.start(entry);
            setFaults(entry);
        }

        int runsOf(const submission& sent) { return m_cluster.upstreams.runs[sent.content.body.bytes()]; }

        void onAnswer(submission& sent, caller_answer answer)
        {
            internal_assert(!sent.answer && !sent.abandoned) << "unexpected answer to " << sent.content.body.bytes();
            const bool order = sent.content.method == "POST";
            const bool ran = answer.result == outcome::Completed || answer.result == outcome::Replayed;
            if (answer.result == outcome::NotRun && order)
                internal_assert(runsOf(sent) == 0) << sent.content.body.bytes() << " ran, but was reported as not run";
            if (ran && order)
                internal_assert(runsOf(sent) == 1) << sent.content.body.bytes() << " ran " << runsOf(sent) << " times";
            if (ran && answer.content.status == 200)
                internal_assert(answer.content.body == "answer to " + sent.content.target + sent.content.body.bytes())
                    << sent.content.body.bytes() << " got " << answer.content.body;
            sent.answer = std::move(answer);
            ++answered;
        }

        void checkCall(const upstream_call& call)
        {
            const submission& sent = *m_submissions[std::stoul(call.headers.front().value)];
            internal_assert(!sent.answer) << "a call for " << sent.content.body.bytes() << " after its answer";
            if (call.method == "POST")
                internal_assert(runsOf(sent) == 0) << sent.content.body.bytes() << " is sent again after it ran";
        }

        void checkEnd()
        {
            for (const auto& sent : m_submissions)
                internal_assert(sent->answer || sent->abandoned) << "no answer for " << sent->content.body.bytes();
            for (const auto& [body, count] : m_cluster.upstreams.runs)
                internal_assert(body.empty() || count <= 1) << body << " ran " << count << " times";
            internal_assert(m_cluster.upstreams.heldSlots() == 0)
                << m_cluster.upstreams.heldSlots() << " slots were not released";
            internal_assert(m_cluster.upstreams.peakRunning <= slotsPerUpstream)
                << m_cluster.upstreams.peakRunning << " requests ran at one upstream at once";
            internal_assert(m_cluster.upstreams.crashes <= entryCount + 2) << m_cluster.upstreams.crashes << " crashes";
            for (const fake_entry& entry : m_cluster.entries) {
                internal_assert(entry.requests->requestsInFlight() == 0) << "requests are still in flight at the end";
                internal_assert(entry.requests->pendingSettlements() == 0)
                    << "settlements are still pending at the end";
            }
        }

        request_cluster m_cluster;
        std::vector<std::unique_ptr<submission>> m_submissions;
        std::uint64_t m_lastOrder = 0;
        bool m_faultsOff = false;
    };

    class request_random_fixture {
    protected:
        static bool fails(std::uint64_t seed, int steps, const request_options& options)
        {
            return breaksInvariant([&] {
                random_run(seed, options).run(steps);
                return false;
            });
        }
    };

} // namespace

TEST_CASE_METHOD(request_random_fixture, "requests.random_faults.break_no_guarantee")
{
    const std::uint64_t first = fromEnvironment("PLANTAINLATCH_SEED", 1);
    const std::uint64_t count = fromEnvironment("PLANTAINLATCH_SEEDS", 8);
    const invariant_catcher catcher;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        INFO("PLANTAINLATCH_SEED=" << seed << " PLANTAINLATCH_SEEDS=1");
        std::string broken;
        try {
            random_run trial(seed, {});
            trial.run(4000);
            REQUIRE(trial.answered > 2000);
        } catch (const broken_invariant& error) {
            broken = error.what();
        }
        INFO(broken);
        REQUIRE(broken.empty());
    }
}

TEST_CASE_METHOD(request_random_fixture, "requests.random_faults_with_a_mechanism_off.break_a_guarantee")
{
    request_options noKeyClaims;
    noKeyClaims.policies.claimsKey = [](const request_traits&) { return false; };
    REQUIRE(fails(1, 4000, noKeyClaims));
    request_options alwaysRetries;
    alwaysRetries.policies.mayRetry = [](const failed_attempt&) { return true; };
    REQUIRE(fails(1, 4000, alwaysRetries));
    request_options unresolvedAsNotRun;
    unresolvedAsNotRun.policies.unresolvedOutcome = [](const request_traits&) { return outcome::NotRun; };
    REQUIRE(fails(3, 4000, unresolvedAsNotRun));
    request_options earlySlotRelease;
    earlySlotRelease.policies.keepsSlotBusy = [](attempt_termination) { return false; };
    REQUIRE(fails(1, 4000, earlySlotRelease));
    request_options noCrashDetection;
    noCrashDetection.policies.mayBeCrash = [](call_failure) { return false; };
    REQUIRE(fails(1, 4000, noCrashDetection));
}

} // namespace plantainlatch
