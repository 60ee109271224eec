#include <cstdio>
#include <memory>
#include <vector>

#include "absl/strings/str_cat.h"
#include "runtime/event_loop.h"
#include "services/json_log.h"
#include "services/upstream_client.h"
#include "upstream_standin/announcer.h"
#include "upstream_standin/standin.h"

namespace plantainlatch {

namespace {

    constexpr int exitOk = 0;
    constexpr int exitFailed = 1;
    constexpr int exitBadInput = 2;
    constexpr duration stopCheckInterval = std::chrono::milliseconds(20);

    /** All stand-ins of the process. */
    class standin_process {
    public:
        standin_process(event_loop& loop, standin_options options, run_record& record)
            : m_loop(loop)
            , m_options(std::move(options))
            , m_record(record)
            , m_hooks(loop.hooks(jsonLog(m_options.idPrefix, "info", log_stream::Error)))
            , m_client(upstream_client::create(loop.base(), m_hooks))
        {
        }

        absl::Status start()
        {
            const std::uint64_t generation = static_cast<std::uint64_t>(m_hooks.wallNow().time_since_epoch().count());
            for (std::uint32_t i = 0; i < m_options.count; ++i) {
                const upstream_announcement self = announcementOf(i, upstream_generation(generation));
                auto created = standin::create(m_loop.base(), m_hooks, m_options, self, m_record);
                if (!created.ok())
                    return created.status();
                m_standins.push_back(std::move(*created));
                m_announcers.push_back(std::make_unique<announcer>(
                    m_hooks, m_client->port(), m_options.entries, self, [this] { return call_id(++m_lastCall); }));
            }
            for (const auto& item : m_announcers)
                item->start();
            return m_loop.onTerminate([this] { stop(); });
        }

    private:
        static network_address addressOf(network_address first, std::uint32_t index)
        {
            first.port = static_cast<std::uint16_t>(first.port + index);
            return first;
        }

        upstream_announcement announcementOf(std::uint32_t index, upstream_generation generation) const
        {
            upstream_announcement self;
            self.id = upstream_id(absl::StrCat(m_options.idPrefix, "-", index + 1));
            self.generation = generation;
            self.service = m_options.service;
            self.address = addressOf(m_options.firstAddress, index);
            const standin_location& location = m_options.locations[index % m_options.locations.size()];
            self.region = location.region;
            self.failureDomain = location.failureDomain;
            self.slots = slot_count(m_options.slots);
            self.connections = m_options.connections;
            return self;
        }

        void stop()
        {
            if (m_stopping)
                return;
            m_stopping = true;
            m_pendingDeregistrations = m_announcers.size();
            for (std::size_t i = 0; i < m_standins.size(); ++i) {
                m_standins[i]->drain();
                m_announcers[i]->leave([this] { --m_pendingDeregistrations; });
            }
            m_hooks.schedule(m_options.drainTime, [this] { stopWhenIdle(); });
        }

        void stopWhenIdle()
        {
            std::size_t inFlight = 0;
            for (const auto& item : m_standins)
                inFlight += item->inFlight();
            if (inFlight > 0 || m_pendingDeregistrations > 0) {
                m_hooks.schedule(stopCheckInterval, [this] { stopWhenIdle(); });
                return;
            }
            std::uint64_t runs = 0;
            std::uint64_t sheds = 0;
            for (const auto& item : m_standins) {
                runs += item->runCount();
                sheds += item->shedCount();
            }
            m_hooks.log({ log_level::Info, "standin", "stopped",
                { { "run", absl::StrCat(runs) }, { "shed", absl::StrCat(sheds) } } });
            m_loop.stop();
        }

        event_loop& m_loop;
        standin_options m_options;
        run_record& m_record;
        kernel_hooks m_hooks;
        std::unique_ptr<upstream_client> m_client;
        std::vector<std::unique_ptr<standin>> m_standins;
        std::vector<std::unique_ptr<announcer>> m_announcers;
        std::uint64_t m_lastCall = 0;
        std::size_t m_pendingDeregistrations = 0;
        bool m_stopping = false;
    };

    int fail(const absl::Status& status, int code)
    {
        std::fprintf(stderr, "upstream_standin: %s\n", std::string(status.message()).c_str());
        return code;
    }

    int runStandins(const standin_options& options)
    {
        const auto loop = event_loop::create(options.seed);
        const auto record = run_record::create(options.recordFile);
        if (!loop.ok() || !record.ok())
            return fail(loop.ok() ? record.status() : loop.status(), exitFailed);
        standin_process process(**loop, options, **record);
        if (const absl::Status status = process.start(); !status.ok())
            return fail(status, exitFailed);
        (*loop)->run();
        return exitOk;
    }

    int runProgram(const std::vector<std::string>& arguments)
    {
        const auto line = command_line::parse(standinCommand(), arguments);
        if (!line.ok())
            return fail(line.status(), exitBadInput);
        if (line->helpWanted()) {
            std::fputs(commandHelp(standinCommand()).c_str(), stdout);
            return exitOk;
        }
        const auto options = readStandinOptions(*line);
        if (!options.ok())
            return fail(options.status(), exitBadInput);
        return runStandins(*options);
    }

} // namespace

} // namespace plantainlatch

int main(int argumentCount, char** arguments)
{
    return plantainlatch::runProgram({ arguments + 1, arguments + argumentCount });
}
