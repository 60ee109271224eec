#include <catch2/catch.hpp>

#include "decision/control/apply_change.h"
#include "decision/declarations/declaration_difference.h"
#include "decision/declarations/declaration_merge.h"
#include "decision/operators/operator_service.h"
#include "model/approximate_size.h"
#include "support/control_fixture.h"

namespace plantainlatch {

namespace {

    class change_fixture : public control_fixture {
    protected:
        change_fixture() { startWith({}); }

        declaration declarationWithShare(std::uint64_t number, std::uint32_t weight)
        {
            declaration content;
            content.number = change_number(number);
            content.replaces = change_number(number - 1);
            content.shares.added
                = { { { service_id("booking"), failure_domain_id("kokura"), weight }, { "note.yaml", 7, 3 } } };
            return content;
        }

        /** Configuration number 1, whose text is large. */
        static configuration largeConfiguration()
        {
            finding_list findings;
            configuration content = *mergeDeclaration({}, threeRegionDeclaration(), findings);
            content.document = std::string(100'000, 'x');
            return content;
        }
    };

} // namespace

TEST_CASE_METHOD(change_fixture, "change.same_number_and_content.is_already_accepted")
{
    REQUIRE(apply(apply_declaration { threeRegionDeclaration() }).verdict == command_verdict::Accepted);
    REQUIRE(apply(apply_declaration { threeRegionDeclaration() }).verdict == command_verdict::AlreadyAccepted);
    REQUIRE(state().history.size() == 1);
    REQUIRE(state().config.services.size() == 2);
}

TEST_CASE_METHOD(change_fixture, "change.same_number_and_other_content.is_a_conflict_that_describes_the_difference")
{
    apply(apply_declaration { threeRegionDeclaration() });
    REQUIRE(apply(apply_declaration { declarationWithShare(2, 5) }).verdict == command_verdict::Accepted);
    const command_result second = apply(apply_declaration { declarationWithShare(2, 6) });
    REQUIRE(second.verdict == command_verdict::Conflict);
    REQUIRE_THAT(second.message, Catch::Contains("share of 'booking' in 'kokura', but with other values"));
    REQUIRE(state().config.shares.begin()->second.weight == 5);
}

TEST_CASE_METHOD(change_fixture, "change.replacing_an_earlier_configuration.is_a_conflict")
{
    apply(apply_declaration { threeRegionDeclaration() });
    apply(apply_declaration { declarationWithShare(2, 5) });
    declaration stale = declarationWithShare(3, 6);
    stale.replaces = change_number(1);
    REQUIRE(apply(apply_declaration { stale }).verdict == command_verdict::Conflict);
    REQUIRE(state().config.number == change_number(2));
}

TEST_CASE_METHOD(change_fixture, "merge.several_errors.are_all_reported_with_their_positions")
{
    declaration content = threeRegionDeclaration();
    content.shares.added = { { { service_id("nothing"), failure_domain_id("kokura"), 1 }, { "n.yaml", 3, 1 } },
        { { service_id("booking"), failure_domain_id("nowhere"), 1 }, { "n.yaml", 4, 1 } } };
    content.services.withdrawn = { { content.services.added[0].value, { "n.yaml", 9, 1 } } };
    finding_list findings;
    REQUIRE_FALSE(mergeDeclaration({}, content, findings).ok());
    REQUIRE_THAT(findings.format(), Catch::Contains("n.yaml:3:1: share of 'nothing'"));
    REQUIRE_THAT(findings.format(), Catch::Contains("n.yaml:4:1: share of 'booking' in 'nowhere'"));
    REQUIRE_THAT(findings.format(), Catch::Contains("n.yaml:9:1: service 'booking' is named twice"));
}

TEST_CASE_METHOD(change_fixture, "merge.withdrawal_of_a_used_region.is_reported_at_the_withdrawal")
{
    apply(apply_declaration { threeRegionDeclaration() });
    apply(apply_declaration { declarationWithShare(2, 5) });
    declaration content;
    content.number = change_number(3);
    content.regions.withdrawn = { { { region_id("fukuoka"), {} }, { "n.yaml", 2, 5 } } };
    finding_list findings;
    REQUIRE_FALSE(mergeDeclaration(state().config, content, findings).ok());
    REQUIRE_THAT(findings.format(), Catch::Contains("n.yaml:2:5: share of 'booking' in 'kokura'"));
}

TEST_CASE_METHOD(change_fixture, "history.difference_to_an_earlier_configuration.restores_it")
{
    apply(apply_declaration { threeRegionDeclaration() });
    const configuration earlier = state().config;
    apply(apply_declaration { declarationWithShare(2, 5) });
    declaration revert = declarationBetween(state().config, earlier);
    revert.number = change_number(3);
    revert.replaces = change_number(2);
    REQUIRE(apply(apply_declaration { revert }).verdict == command_verdict::Accepted);
    REQUIRE(state().config.shares.empty());
    REQUIRE(state().config.number == change_number(3));
}

TEST_CASE_METHOD(change_fixture, "replacement.without_a_declaration_on_top.is_once_in_the_snapshot")
{
    apply(apply_declaration { threeRegionDeclaration() });
    configuration second = largeConfiguration();
    second.number = change_number(2);
    REQUIRE(apply(replace_configuration { second }).verdict == command_verdict::Accepted);
    REQUIRE(approximateSize(state()) < approximateSize(second) * 3 / 2);
    REQUIRE(*configurationAt(state(), change_number(2)) == second);
    REQUIRE_FALSE(configurationAt(state(), change_number(1)).ok());
}

TEST_CASE_METHOD(change_fixture, "history.declaration_on_top_of_a_replacement.leads_back_to_it")
{
    const configuration replaced = largeConfiguration();
    apply(replace_configuration { replaced });
    REQUIRE(apply(apply_declaration { declarationWithShare(2, 5) }).verdict == command_verdict::Accepted);
    REQUIRE(*configurationAt(state(), change_number(1)) == replaced);
    REQUIRE(*configurationAt(state(), change_number(2)) == state().config);
}

// Guards against a state that grows with each large declaration, as the history was limited by number alone.
TEST_CASE_METHOD(change_fixture, "history.of_large_declarations.is_limited_in_bytes_and_still_leads_back")
{
    constexpr std::size_t noteBytes = 256 * 1024;
    apply(apply_declaration { threeRegionDeclaration() });
    for (std::uint64_t number = 2; number <= 40; ++number) {
        declaration content = declarationWithShare(number, static_cast<std::uint32_t>(number));
        if (number > 2)
            std::swap(content.shares.added, content.shares.changed);
        content.note = std::string(noteBytes, 'x');
        REQUIRE(apply(apply_declaration { content }).verdict == command_verdict::Accepted);
    }
    REQUIRE(approximateSize(state().history) <= maximumHistoryBytes);
    REQUIRE(state().history.size() > 10);
    configuration rebuilt = state().historyBase;
    finding_list findings;
    for (const history_record& record : state().history)
        rebuilt = *mergeDeclaration(rebuilt, record.content, findings);
    REQUIRE(rebuilt == state().config);
}

TEST_CASE_METHOD(change_fixture, "history.snapshot_with_the_base_of_an_empty_history.leads_back_to_the_same")
{
    control_snapshot former;
    former.config = largeConfiguration();
    former.historyBase = former.config;
    port().restore(former);
    REQUIRE(*configurationAt(state(), change_number(1)) == former.config);
    REQUIRE(apply(apply_declaration { declarationWithShare(2, 5) }).verdict == command_verdict::Accepted);
    REQUIRE(*configurationAt(state(), change_number(1)) == former.config);
    REQUIRE(*configurationAt(state(), change_number(2)) == state().config);
}

TEST_CASE_METHOD(change_fixture, "proposal.resent.gets_the_first_result_and_changes_nothing")
{
    apply(apply_declaration { threeRegionDeclaration() });
    const proposal joined { { vm_id("b"), incarnation(5), 1 }, {}, upstream_joined { bookingUpstream("u", 9001) } };
    REQUIRE(port().apply(joined).verdict == command_verdict::Accepted);
    apply(upstream_left { upstream_id("u"), upstream_generation(1) });
    REQUIRE(port().apply(joined).verdict == command_verdict::Accepted);
    REQUIRE(state().directory.empty());
}

// Guards against an upgrade that admits everybody, or nobody, since former versions did not store the admission.
TEST_CASE("configuration.stored_without_its_admission.is_completed_from_its_document")
{
    const bool isRestored = GENERATE(true, false);
    const auto [document, admission] = GENERATE(table<std::string, caller_admission>(
        { { "accounts", caller_admission::AccountHolders }, { "none", caller_admission::Everyone } }));
    paused_runtime runtime { 1 };
    auto root = *kernel::create(runtime.hooks());
    control_options options;
    options.readAdmission = [](const std::string& text) {
        return text == "accounts" ? caller_admission::AccountHolders : caller_admission::Everyone;
    };
    auto subject = *control_service::create(runtime.hooks(), {}, options);
    root->add(subject->asService());
    REQUIRE(root->start().ok());
    control_port& port = **root->services().find<control_port>(port_names::control);
    control_snapshot stored;
    stored.config.number = change_number(4);
    stored.config.document = document;
    if (isRestored)
        port.restore(stored);
    else
        port.apply({ { vm_id("a"), incarnation(1), 1 }, {}, replace_configuration { stored.config } });
    REQUIRE(port.state().config.admission == admission);
    REQUIRE(needsCredential(port.state().config) == (admission == caller_admission::AccountHolders));
}

TEST_CASE("proposal.resent_without_deduplication.is_applied_again")
{
    paused_runtime runtime { 1 };
    auto root = *kernel::create(runtime.hooks());
    auto subject = *control_service::create(runtime.hooks(), {}, { .deduplicateProposals = false });
    root->add(subject->asService());
    REQUIRE(root->start().ok());
    control_port& port = **root->services().find<control_port>(port_names::control);
    port.apply({ { vm_id("a"), incarnation(1), 1 }, {}, apply_declaration { threeRegionDeclaration() } });
    const proposal joined { { vm_id("b"), incarnation(5), 1 }, {}, upstream_joined { bookingUpstream("u", 9001) } };
    port.apply(joined);
    port.apply({ { vm_id("a"), incarnation(1), 2 }, {}, upstream_left { upstream_id("u"), upstream_generation(1) } });
    port.apply(joined);
    REQUIRE(port.state().directory.size() == 1);
}

TEST_CASE_METHOD(change_fixture, "proposal.of_an_earlier_incarnation.is_refused")
{
    const drain_target target { drain_kind::Region, "fukuoka" };
    apply(apply_declaration { threeRegionDeclaration() });
    port().apply({ { vm_id("b"), incarnation(5), 1 }, {}, set_drain { target, true } });
    port().apply({ { vm_id("b"), incarnation(6), 1 }, {}, set_drain { target, false } });
    const command_result result = port().apply({ { vm_id("b"), incarnation(5), 2 }, {}, set_drain { target, true } });
    REQUIRE(result.verdict == command_verdict::Refused);
    REQUIRE(state().drains.empty());
}

} // namespace plantainlatch
