#include <catch2/catch.hpp>

#include "decision/request/retry_window.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    class retry_window_fixture {
    protected:
        static retry_window_options options()
        {
            retry_window_options result;
            result.window = 10s;
            result.share = 0.2;
            result.slack = 6;
            return result;
        }

        int countAllowedRetries()
        {
            int spent = 0;
            while (subject.tryAcquire(booking, now, 2))
                ++spent;
            return spent;
        }

        service_id booking { "booking" };
        time_point now {};
        retry_window subject { options() };
    };

} // namespace

TEST_CASE_METHOD(retry_window_fixture, "retry_window.no_requests.allows_only_the_slack")
{
    REQUIRE(countAllowedRetries() == 3);
}

TEST_CASE_METHOD(retry_window_fixture, "retry_window.requests.add_their_share")
{
    for (int i = 0; i < 50; ++i)
        subject.recordRequest(booking, now);
    REQUIRE(countAllowedRetries() == 13);
}

TEST_CASE_METHOD(retry_window_fixture, "retry_window.two_services.have_separate_budgets")
{
    REQUIRE(countAllowedRetries() == 3);
    REQUIRE(subject.tryAcquire(service_id("billing"), now, 2));
}

TEST_CASE_METHOD(retry_window_fixture, "retry_window.any_window.contains_at_most_the_allowed_retries")
{
    std::vector<time_point> spent;
    for (int tick = 0; tick < 400; ++tick) {
        now += 100ms;
        while (subject.tryAcquire(booking, now, 2))
            spent.push_back(now);
        int inWindow = 0;
        for (const time_point at : spent)
            inWindow += at > now - 10s ? 1 : 0;
        REQUIRE(inWindow <= 3);
    }
    REQUIRE(spent.size() >= 9);
}

} // namespace plantainlatch
