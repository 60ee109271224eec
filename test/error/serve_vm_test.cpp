#include <csignal>
#include <filesystem>
#include <fstream>
#include <optional>

#include <catch2/catch.hpp>

#include "error/loop_fixture.h"
#include "error/raw_client.h"
#include "error/raw_upstream.h"
#include "services/serve_vm.h"
#include "support/temporary_folder.h"

namespace plantainlatch {

namespace {

    using Catch::Contains;

    /** Settings of a system with one VM, whose data is in a temporary folder. */
    class serve_vm_fixture : protected loop_fixture {
    protected:
        serve_vm_fixture()
        {
            std::ofstream(folder.file("shared.key")) << std::string(64, 'k');
            std::filesystem::permissions(folder.file("shared.key"), std::filesystem::perms::owner_read);
            settings.self.id = vm_id("alone");
            settings.self.region = region_id("fukuoka");
            settings.self.failureDomain = failure_domain_id("hakata");
            settings.self.callerAddress = freeAddress();
            settings.self.peerAddress = freeAddress();
            settings.self.replica = true;
            settings.vms = { settings.self };
            settings.dataFolder = folder.file("state");
            settings.sharedKeyFile = folder.file("shared.key");
            settings.lookupCacheTime = std::chrono::milliseconds(100);
            settings.logLevel = "error";
        }

        network_address freeAddress() { return raw_upstream(loop->base()).address(); }

        /** Whether the last status answer names the VM as the leader; asks for the status again if it does not. */
        bool leads()
        {
            if (m_statusClient && m_statusClient->received.find("\"leader\":\"alone\"") != std::string::npos)
                return true;
            if (!m_statusClient || m_statusClient->ended) {
                m_statusClient.emplace(loop->base(), settings.self.callerAddress);
                m_statusClient->send("GET /v1/status HTTP/1.0\r\n\r\n");
            }
            return false;
        }

        /** Runs the loop until the VM has stopped; fails the test after 20 seconds. */
        void runUntilStopped()
        {
            bool stopped = true;
            const timer_id limit = hooks.schedule(std::chrono::seconds(20), [&] {
                stopped = false;
                loop->stop();
            });
            loop->run();
            hooks.cancel(limit);
            REQUIRE(stopped);
        }

        temporary_folder folder;
        vm_settings settings;

    private:
        std::optional<raw_client> m_statusClient;
    };

} // namespace

TEST_CASE_METHOD(serve_vm_fixture, "serve_vm.caller_address_in_use.is_refused_in_one_line")
{
    const raw_upstream other(loop->base());
    settings.self.callerAddress = other.address();
    const absl::Status status = serve_vm::create(*loop, settings).status();
    REQUIRE(status.code() == absl::StatusCode::kUnavailable);
    REQUIRE_THAT(std::string(status.message()), Contains(formatAddress(other.address())) && !Contains("\n"));
}

TEST_CASE_METHOD(serve_vm_fixture, "serve_vm.peer_address_in_use.is_refused_in_one_line")
{
    const raw_upstream other(loop->base());
    settings.self.peerAddress = other.address();
    settings.vms = { settings.self };
    const auto subject = serve_vm::create(*loop, settings);
    REQUIRE(subject.ok());
    const absl::Status status = (*subject)->start();
    REQUIRE_THAT(std::string(status.message()), Contains(formatAddress(other.address())) && !Contains("\n"));
}

TEST_CASE_METHOD(serve_vm_fixture, "serve_vm.data_folder_that_is_a_file.is_refused_in_one_line")
{
    std::ofstream(*settings.dataFolder) << "no folder";
    const absl::Status status = serve_vm::create(*loop, settings).status();
    REQUIRE_FALSE(status.ok());
    REQUIRE_THAT(std::string(status.message()), Contains(*settings.dataFolder) && !Contains("\n"));
}

TEST_CASE_METHOD(serve_vm_fixture, "serve_vm.terminated_during_its_start.stops_gracefully")
{
    const auto subject = serve_vm::create(*loop, settings);
    REQUIRE(subject.ok());
    std::raise(SIGTERM);
    REQUIRE((*subject)->start().ok());
    runUntilStopped();
    (*subject)->checkIdle();
}

TEST_CASE_METHOD(serve_vm_fixture, "serve_vm.terminated_twice.answers_requests_until_the_end_of_one_graceful_stop")
{
    const auto subject = serve_vm::create(*loop, settings);
    REQUIRE(subject.ok());
    REQUIRE((*subject)->start().ok());
    runUntil([&] { return leads(); });
    std::raise(SIGTERM);
    std::raise(SIGTERM);
    runFor(std::chrono::milliseconds(50));
    raw_client late(loop->base(), settings.self.callerAddress);
    late.send("GET /s/nothing/ HTTP/1.1\r\n\r\n");
    runUntilStopped();
    REQUIRE_THAT(late.received, Contains("X-Plantainlatch-Reason: not-ready") && Contains("Connection: close"));
    (*subject)->checkIdle();
}

} // namespace plantainlatch
