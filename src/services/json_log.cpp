#include "services/json_log.h"

#include <memory>
#include <utility>

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include "services/bounded_sink.h"
#include "services/line_limiter.h"

namespace plantainlatch {

namespace {

    /** The size in bytes of the buffer for lines that can't be written yet. */
    constexpr std::size_t bufferBytes = 256 * 1024;
    /** The maximum number of lines of one kind in an interval; further ones are only counted. */
    constexpr std::uint64_t linesPerInterval = 400;
    constexpr duration limitInterval = std::chrono::seconds(1);

    time_point steadyNow()
    {
        return time_point(std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch()));
    }

    spdlog::level::level_enum toSpdlog(log_level level)
    {
        switch (level) {
        case log_level::Debug:
            return spdlog::level::debug;
        case log_level::Info:
            return spdlog::level::info;
        case log_level::Warning:
            return spdlog::level::warn;
        case log_level::Error:
            return spdlog::level::err;
        }
        return spdlog::level::err;
    }

    std::string quoted(const std::string& text)
    {
        return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }

    std::string fieldsAsJson(const log_event& event)
    {
        std::string text = "\"service\":" + quoted(event.service) + ",\"message\":" + quoted(event.what);
        for (const log_field& field : event.fields)
            text += "," + quoted(field.name) + ":" + quoted(field.value);
        return text;
    }

} // namespace

std::function<void(const log_event&)> jsonLog(const std::string& vmName, const std::string& lowestLevel, log_stream to,
    std::shared_ptr<log_statistics> statistics)
{
    const int descriptor = to == log_stream::Output ? STDOUT_FILENO : STDERR_FILENO;
    auto sink = std::make_shared<bounded_sink>(descriptor, bufferBytes);
    auto logger = std::make_shared<spdlog::logger>("json", sink);
    logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l","vm":)" + quoted(vmName) + ",%v}");
    logger->set_level(spdlog::level::from_str(lowestLevel));
    auto limiter = std::make_shared<line_limiter>(linesPerInterval, limitInterval);
    return [logger, sink, limiter, statistics = std::move(statistics)](const log_event& event) {
        statistics->note(event);
        if (!logger->should_log(toSpdlog(event.level)))
            return;
        const line_limiter::verdict verdict = limiter->check(event.service + event.what, steadyNow());
        if (!verdict.passes) {
            statistics->countSuppressed();
            return;
        }
        std::string fields = fieldsAsJson(event);
        if (verdict.suppressed > 0)
            fields += ",\"left_out_before\":" + std::to_string(verdict.suppressed);
        logger->log(toSpdlog(event.level), fields);
        statistics->setLost(sink->lostLines());
    };
}

} // namespace plantainlatch
