#include <random>

#include <catch2/catch.hpp>

#include "decision/control/apply_change.h"
#include "decision/declarations/configuration_difference.h"
#include "decision/declarations/text_difference.h"
#include "model/approximate_size.h"

namespace plantainlatch {

namespace {

    class configuration_difference_fixture {
    protected:
        configuration_difference_fixture()
        {
            former.number = change_number(3);
            former.services[service_id("booking")].id = service_id("booking");
            for (int i = 0; i < 1000; ++i)
                former.routes.push_back(makeRoute(i));
            former.document = "[1][22][333]";
            later = former;
            later.number = change_number(4);
        }

        static route_definition makeRoute(int number)
        {
            route_definition route;
            route.id = route_id("route-" + std::to_string(number));
            route.host = "bookings.example";
            route.pathPrefix = "/" + std::to_string(number) + "/";
            route.services = { { service_id("booking"), 1 } };
            return route;
        }

        /** Whether the difference between `former` and `later` restores `later`. */
        bool restoresLater() const
        {
            const std::optional<configuration_difference> difference = differenceBetween(former, later);
            if (!difference)
                return false;
            const absl::StatusOr<configuration> restored = applyDifference(former, *difference);
            return restored.ok() && *restored == later;
        }

        configuration former;
        configuration later;
    };

    class text_difference_fixture {
    protected:
        /** A text of a few short pieces, many of them equal. */
        std::string randomText()
        {
            const std::string pieces[]
                = { "[\"route-a\",\"host\",1]", "[\"route-b\",\"host\",22]", "]", "}\n", "x", "" };
            std::string text;
            for (std::size_t i = random() % 30; i > 0; --i)
                text += pieces[random() % std::size(pieces)];
            return text;
        }

        std::mt19937_64 random { 5 };
    };

} // namespace

// Guards against a change that removes the last account being applied like one that needs no credential.
TEST_CASE_METHOD(configuration_difference_fixture, "configuration_difference.admission.is_sent_in_both_directions")
{
    former.admission = caller_admission::AccountHolders;
    former.accounts[account_id("last")] = { account_id("last"), { "key" }, {}, {}, {} };
    later.admission = caller_admission::AccountHolders;
    REQUIRE(restoresLater());
    std::swap(former.accounts, later.accounts);
    later.accounts.clear();
    later.admission = caller_admission::Everyone;
    REQUIRE(restoresLater());
    std::swap(former.admission, later.admission);
    REQUIRE(restoresLater());
}

// Guards against accounts that a difference drops, and against a size that grows with the number of accounts.
TEST_CASE_METHOD(configuration_difference_fixture, "configuration_difference.changed_accounts.are_sent_alone")
{
    for (int i = 0; i < 3000; ++i) {
        const account_id id("account-" + std::to_string(i));
        former.accounts[id] = { id, { "key-" + std::to_string(i) }, {}, { 5, 5 }, {} };
    }
    later.accounts = former.accounts;
    later.accounts.erase(account_id("account-7"));
    later.accounts[account_id("account-8")].credentials.emplace_back("next");
    later.accounts[account_id("new")].id = account_id("new");
    REQUIRE(restoresLater());
    REQUIRE(approximateSize(*differenceBetween(former, later)) < 1000);
    REQUIRE_FALSE(applyDifference(later, *differenceBetween(former, later)).ok());
}

TEST_CASE_METHOD(configuration_difference_fixture, "difference.of_one_changed_route_among_many.is_small")
{
    later.routes[500].services[0].weight = 2;
    REQUIRE(restoresLater());
    REQUIRE(approximateSize(*differenceBetween(former, later)) < 1000);
}

TEST_CASE_METHOD(configuration_difference_fixture, "difference.of_added_changed_and_removed_routes.restores_them")
{
    later.routes.erase(later.routes.begin() + 10);
    later.routes[20].idempotent = true;
    later.routes.push_back(makeRoute(5000));
    later.services[service_id("billing")].id = service_id("billing");
    later.document = "[22][1][4444]";
    REQUIRE(restoresLater());
}

TEST_CASE_METHOD(configuration_difference_fixture, "difference.of_an_inserted_route.is_small")
{
    later.routes.insert(later.routes.begin() + 300, makeRoute(5000));
    REQUIRE(restoresLater());
    REQUIRE(approximateSize(*differenceBetween(former, later)) < 1000);
}

TEST_CASE_METHOD(configuration_difference_fixture, "difference.of_reordered_routes.keeps_their_order")
{
    std::swap(later.routes.front(), later.routes.back());
    REQUIRE(restoresLater());
}

TEST_CASE_METHOD(configuration_difference_fixture, "difference.of_two_routes_with_one_name.keeps_both")
{
    later.routes.push_back(makeRoute(3));
    later.routes.back().host = "other.example";
    later.routes.push_back(makeRoute(3));
    REQUIRE(restoresLater());
}

TEST_CASE_METHOD(configuration_difference_fixture, "difference.as_large_as_the_whole.does_not_exist")
{
    former.routes.clear();
    former.document.clear();
    REQUIRE_FALSE(differenceBetween(former, later));
}

TEST_CASE_METHOD(configuration_difference_fixture, "difference.applied_to_another_configuration.is_an_error")
{
    later.routes[500].idempotent = true;
    const std::optional<configuration_difference> difference = differenceBetween(former, later);
    former.routes.resize(400);
    REQUIRE(absl::IsInvalidArgument(applyDifference(former, *difference).status()));
}

TEST_CASE_METHOD(configuration_difference_fixture, "amendment.of_another_base.is_a_conflict_and_changes_nothing")
{
    const amend_configuration command { change_number(3), *differenceBetween(former, later) };
    control_snapshot state;
    state.config = former;
    state.config.number = change_number(2);
    REQUIRE(applyAmendment(state, command).verdict == command_verdict::Conflict);
    REQUIRE(state.config.number == change_number(2));
}

TEST_CASE_METHOD(configuration_difference_fixture, "amendment.applied_again.changes_nothing")
{
    const amend_configuration command { change_number(3), *differenceBetween(former, later) };
    control_snapshot state;
    state.config = former;
    REQUIRE(applyAmendment(state, command).verdict == command_verdict::Accepted);
    REQUIRE(state.config == later);
    REQUIRE(applyAmendment(state, command).verdict == command_verdict::AlreadyAccepted);
}

TEST_CASE_METHOD(text_difference_fixture, "text_difference.of_random_texts.restores_the_later_one")
{
    for (int i = 0; i < 1000; ++i) {
        const std::string from = randomText();
        const std::string to = randomText();
        REQUIRE(*applyTextDifference(from, textDifference(from, to)) == to);
    }
}

TEST_CASE_METHOD(text_difference_fixture, "text_difference.with_a_copy_beyond_the_former_text.is_an_error")
{
    REQUIRE(absl::IsInvalidArgument(applyTextDifference("abc", { { 2, 2, "" } }).status()));
    REQUIRE(absl::IsInvalidArgument(applyTextDifference("abc", { { 4, 0, "" } }).status()));
    REQUIRE(absl::IsInvalidArgument(applyTextDifference("abc", { { 1, UINT64_MAX, "" } }).status()));
}

} // namespace plantainlatch
