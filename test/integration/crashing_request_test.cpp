#include <catch2/catch.hpp>

#include "integration/test_system.h"

namespace plantainlatch {

namespace {

    class crashing_request_fixture {
    protected:
        crashing_request_fixture()
        {
            system.start();
            system.startUpstreams(6, true);
        }

        test_system system { {} };
    };

} // namespace

TEST_CASE_METHOD(crashing_request_fixture, "crashing_request.sent_repeatedly.crashes_at_most_two_upstreams")
{
    const test_request crashing { "GET", "/s/work/killer", { { "X-Standin-Crash", "1" } } };
    std::string lastReason;
    for (int i = 0; i < 8; ++i) {
        const auto answer = system.caller().send(system.callerAddress(1 + i % system.vmCount()), crashing);
        REQUIRE(answer);
        CHECK(answer->status >= 500);
        lastReason = headerOf(*answer, "X-Plantainlatch-Reason");
    }
    CHECK(lastReason == "crashing-request");
    CHECK(system.recordedLines("CRASH").size() <= 2);
    CHECK(system.runningUpstreams() >= 4);
    const auto other = system.caller().send(system.callerAddress(1), { "GET", "/s/work/other" });
    REQUIRE(other);
    CHECK(other->status == 200);
}

} // namespace plantainlatch
