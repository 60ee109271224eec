#include <csignal>

#include <catch2/catch.hpp>

#include "error/loop_fixture.h"
#include "error/raw_upstream.h"
#include "platform/platform_vm.h"

namespace plantainlatch::platform {

namespace {

    /** Settings of an entry whose seed does not run. */
    class platform_vm_fixture : protected loop_fixture {
    protected:
        platform_vm_fixture()
        {
            vm_record& self = settings.vm.self;
            self.id = vm_id("entry");
            self.region = region_id("fukuoka");
            self.failureDomain = failure_domain_id("hakata");
            self.peerAddress = freeAddress();
            self.entry = true;
            settings.callerAddress = freeAddress();
            self.callerAddress = *settings.callerAddress;
            settings.readinessAddress = freeAddress();
            settings.inspectionAddress = freeAddress();
            vm_record seed;
            seed.id = vm_id("seed");
            seed.peerAddress = freeAddress();
            seed.entry = false;
            seed.replica = true;
            settings.vm.vms = { self, seed };
            settings.vm.membership = membership_mode::Seeded;
            settings.vm.trustedNetwork = true;
            settings.vm.logLevel = "error";
        }

        network_address freeAddress() { return raw_upstream(loop->base()).address(); }

        platform_settings settings;
    };

} // namespace

TEST_CASE_METHOD(platform_vm_fixture, "platform_vm.sighup_during_the_start.reads_the_settings_again_after_it")
{
    const auto subject = platform_vm::create(*loop, settings);
    REQUIRE(subject.ok());
    int reads = 0;
    (*subject)->setSettingsReader([&] {
        ++reads;
        return settings;
    });
    std::raise(SIGHUP);
    REQUIRE((*subject)->start().ok());
    REQUIRE(reads == 0);
    runUntil([&] { return reads == 1; });
}

} // namespace plantainlatch::platform
