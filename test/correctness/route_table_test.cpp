#include <map>

#include <catch2/catch.hpp>

#include "decision/routes/route_table.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    route_definition makeRoute(const std::string& id, const std::string& prefix, std::vector<weighted_service> services)
    {
        route_definition route;
        route.id = route_id(id);
        route.host = "Courts.example";
        route.pathPrefix = prefix;
        route.timeLimit = 3s;
        route.targetLatency = 600ms;
        route.services = std::move(services);
        return route;
    }

    class route_table_fixture {
    protected:
        route_table_fixture()
        {
            config.number = change_number(1);
            config.services[service_id("booking")] = {};
            config.services[service_id("billing")] = {};
            config.routes = { makeRoute("short", "/a/", { { service_id("booking"), 1 } }),
                makeRoute("long", "/a/b/", { { service_id("billing"), 1 } }) };
            table.update(config);
        }

        std::string found(const std::string& host, const std::string& target)
        {
            const route_definition* route = table.find(host, target);
            return route == nullptr ? "none" : route->id.value();
        }

        std::string findingsText()
        {
            finding_list findings;
            checkRoutes(config, "c", findings);
            return findings.format();
        }

        configuration config;
        route_table table;
    };

} // namespace

TEST_CASE_METHOD(route_table_fixture, "route_table.nested_prefixes.longest_wins")
{
    REQUIRE(found("courts.example", "/a/b/7?x=1") == "long");
    REQUIRE(found("courts.example", "/a/c") == "short");
    REQUIRE(found("courts.example", "/a/b") == "short");
}

TEST_CASE_METHOD(route_table_fixture, "route_table.host_with_port_and_case.is_the_same_host")
{
    REQUIRE(found("COURTS.example:8144", "/a/") == "short");
    REQUIRE(found("other.example", "/a/") == "none");
}

TEST_CASE_METHOD(route_table_fixture, "route_table.prefix_only_in_the_query.matches_no_route")
{
    REQUIRE(found("courts.example", "/x?y=/a/") == "none");
    REQUIRE(found("courts.example", "/x/a/") == "none");
}

TEST_CASE_METHOD(route_table_fixture, "route_table.split.gives_each_service_its_share_at_any_time")
{
    const route_definition split
        = makeRoute("split", "/s/", { { service_id("booking"), 90 }, { service_id("billing"), 10 } });
    int billing = 0;
    for (int sent = 1; sent <= 500; ++sent) {
        billing += table.chooseService(split) == service_id("billing") ? 1 : 0;
        REQUIRE(std::abs(billing - sent * 0.1) <= 1.0);
    }
}

TEST_CASE_METHOD(route_table_fixture, "route_table.new_configuration.replaces_all_routes")
{
    config.number = change_number(2);
    config.routes.pop_back();
    table.update(config);
    REQUIRE(found("courts.example", "/a/b/7") == "short");
}

TEST_CASE_METHOD(route_table_fixture, "route_check.valid_routes.has_no_findings")
{
    for (route_definition& route : config.routes)
        route.maximumAttempts = 2;
    REQUIRE(findingsText().empty());
}

TEST_CASE_METHOD(route_table_fixture, "route_check.unknown_service.is_a_finding")
{
    config.routes[0].services[0].service = service_id("gone");
    REQUIRE(findingsText().find("unknown service 'gone'") != std::string::npos);
}

TEST_CASE_METHOD(route_table_fixture, "route_check.no_attempts_or_no_service.is_a_finding_each")
{
    config.routes[0].maximumAttempts = 0;
    config.routes[1].services.clear();
    REQUIRE(findingsText().find("allows no attempt") != std::string::npos);
    REQUIRE(findingsText().find("names no service") != std::string::npos);
}

TEST_CASE_METHOD(route_table_fixture, "route_check.target_latency_a_minute_above_the_limit.is_a_finding")
{
    config.routes[0].targetLatency = config.routes[0].timeLimit + 59s;
    REQUIRE(findingsText().empty());
    config.routes[0].targetLatency = config.routes[0].timeLimit + 60s;
    REQUIRE(findingsText().find("target latency") != std::string::npos);
}

} // namespace plantainlatch
