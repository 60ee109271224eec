#include <catch2/catch.hpp>

#include "decision/request/retry_window.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    class retry_window_fixture {
    protected:
        static retry_window_options options()
        {
            retry_window_options made;
            made.window = 10s;
            made.share = 0.2;
            made.slack = 6;
            return made;
        }

        int spendAll()
        {
            int spent = 0;
            while (subject.spend(booking, now, 2))
                ++spent;
            return spent;
        }

        service_id booking { "booking" };
        time_point now {};
        retry_window subject { options() };
    };

} // namespace

TEST_CASE_METHOD(retry_window_fixture, "retry_window.no_requests.lends_the_slack_alone") { REQUIRE(spendAll() == 3); }

TEST_CASE_METHOD(retry_window_fixture, "retry_window.requests.add_their_share")
{
    for (int i = 0; i < 50; ++i)
        subject.earn(booking, now);
    REQUIRE(spendAll() == 13);
}

TEST_CASE_METHOD(retry_window_fixture, "retry_window.services.have_budgets_of_their_own")
{
    REQUIRE(spendAll() == 3);
    REQUIRE(subject.spend(service_id("billing"), now, 2));
}

TEST_CASE_METHOD(retry_window_fixture, "retry_window.any_window.holds_no_more_than_the_bound")
{
    std::vector<time_point> spent;
    for (int tick = 0; tick < 400; ++tick) {
        now += 100ms;
        while (subject.spend(booking, now, 2))
            spent.push_back(now);
        int within = 0;
        for (const time_point at : spent)
            within += at > now - 10s ? 1 : 0;
        REQUIRE(within <= 3);
    }
    REQUIRE(spent.size() >= 9);
}

} // namespace plantainlatch
