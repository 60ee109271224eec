#include <catch2/catch.hpp>

#include "codec/declaration_writer.h"
#include "codec/declaration_yaml.h"
#include "support/control_fixture.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    class declaration_writer_fixture {
    protected:
        declaration_writer_fixture()
        {
            const service_id booking("booking");
            content.replaces = change_number(0);
            content.note = "a note: with 'quotes', and\na second line";
            content.acceptedRisks = { accepted_risk::NoUpstream, accepted_risk::RegionOverload };
            content.links.added
                = { { { region_id("fukuoka"), region_id("kumamoto"), bytes_per_second(500000000) }, {} } };
            content.services.added[0].value.routes = { { "POST", "/lamp-orders", false } };
            content.services.added[0].value.defaultDeadline = 250ms;
            content.shares.withdrawn = { { { booking, failure_domain_id("kokura"), 0 }, {} } };
            content.upstreams.changed
                = { { { upstream_id("u"), booking, failure_domain_id("kokura"), slot_count(2) }, {} } };
            content.upstreams.withdrawn = { { { upstream_id("v"), {}, {}, {} }, {} } };
            content.shifts.added = { { { shift_id("move"), booking, failure_domain_id("kokura"),
                                           failure_domain_id("kirishima"), 50, 100, 10, 30s },
                {} } };
        }

        declaration content = threeRegionDeclaration();
    };

} // namespace

TEST_CASE_METHOD(declaration_writer_fixture, "declaration_writer.full_declaration.parses_to_an_equal_one")
{
    const std::string text = writeDeclaration(content);
    INFO(text);
    finding_list findings;
    const absl::StatusOr<declaration> read = parseDeclaration(text, "written", findings);
    INFO(findings.format());
    REQUIRE(read.ok());
    REQUIRE(*read == content);
}

} // namespace plantainlatch
