#include <algorithm>

#include <catch2/catch.hpp>

#include "decision/alerts/alert_service.h"
#include "support/control_cluster.h"
#include "support/control_fixture.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    class alert_fixture {
    protected:
        alert_fixture()
            : cluster(5, 5, {}, [this](control_cluster& owner, cluster_vm& vm) {
                services.push_back(*alert_service::create(owner.runtime.hooks(), vm.settings));
                vm.root->add(services.back()->asService());
            })
        {
            cluster.apply(apply_declaration { threeRegionDeclaration() });
            cluster.runtime.advance(30s);
        }

        std::vector<std::string> active(const std::string& vm = "a")
        {
            std::vector<std::string> ids;
            for (const alert& item : cluster.vm(vm).port<alert_port>(port_names::alerts).active())
                ids.push_back(item.id);
            return ids;
        }

        std::ptrdiff_t logged(const std::string& what, const std::string& id)
        {
            const auto& lines = cluster.runtime.logLines;
            return std::count_if(lines.begin(), lines.end(),
                [&](const log_event& line) { return line.what == what && line.fields.front().value == id; });
        }

        std::vector<std::unique_ptr<alert_service>> services;
        control_cluster cluster;
    };

    risk_condition condition(duration raiseAfter) { return { "id", "promise", "what", "action", raiseAfter }; }

    /** The number of alerts raised for a condition that holds in two of three ticks of 500 ms, for one minute. */
    std::size_t raisedWhileFlapping(alert_filter filter)
    {
        alert_tracker tracker(filter);
        std::size_t raised = 0;
        time_point now {};
        for (int i = 0; i < 120; ++i) {
            now += 500ms;
            std::vector<risk_condition> found;
            if (i % 3 != 2)
                found.push_back(condition(5s));
            raised += tracker.update(found, now, {}).raised.size();
        }
        return raised;
    }

} // namespace

TEST_CASE_METHOD(alert_fixture, "alerts.healthy_system.has_none")
{
    cluster.runtime.advance(120s);
    REQUIRE(active().empty());
    REQUIRE(logged("alert raised", "quorum") == 0);
}

TEST_CASE_METHOD(alert_fixture, "alerts.one_lost_replica.raises_none")
{
    cluster.cut("e");
    cluster.runtime.advance(60s);
    REQUIRE(active().empty());
}

TEST_CASE_METHOD(alert_fixture, "alerts.quorum_at_risk.is_raised_once_and_resolves")
{
    cluster.cut("d");
    cluster.cut("e");
    cluster.runtime.advance(60s);
    REQUIRE(active() == std::vector<std::string> { "quorum" });
    cluster.heal("e");
    cluster.runtime.advance(20s);
    REQUIRE(active().empty());
    REQUIRE(logged("alert raised", "quorum") == 1);
    REQUIRE(logged("alert resolved", "quorum") == 1);
}

TEST_CASE_METHOD(alert_fixture, "alerts.vm_without_leader_contact.raises_an_alert_about_itself")
{
    cluster.cut("e");
    cluster.runtime.advance(20s);
    REQUIRE(active("e") == std::vector<std::string> { "control:e" });
    cluster.heal("e");
    cluster.runtime.advance(20s);
    REQUIRE(active("e").empty());
}

TEST_CASE_METHOD(alert_fixture, "alerts.keyed_request_of_unknown_outcome.raises_one")
{
    claim_key claim { service_id("billing"), idempotency_key("k"), request_fingerprint(1), 1h, 1s };
    cluster.apply(claim);
    cluster.runtime.advance(30s);
    REQUIRE(active() == std::vector<std::string> { "outcome:billing" });
}

TEST_CASE("alert_tracker.flapping_condition.is_raised_once_and_only_by_the_leaky_filter")
{
    REQUIRE(raisedWhileFlapping(alert_filter::Leaky) == 1);
    REQUIRE(raisedWhileFlapping(alert_filter::Plain) == 40);
    REQUIRE(raisedWhileFlapping(alert_filter::Unbroken) == 0);
}

} // namespace plantainlatch
