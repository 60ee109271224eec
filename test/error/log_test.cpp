#include <fcntl.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <spdlog/logger.h>

#include "codec/log_json.h"
#include "services/bounded_sink.h"
#include "services/exposed_state.h"
#include "services/line_limiter.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    /** A logger that writes into a pipe, which the test reads. */
    class bounded_sink_fixture {
    protected:
        bounded_sink_fixture()
        {
            REQUIRE(pipe2(ends, O_CLOEXEC) == 0);
            sink = std::make_shared<bounded_sink>(ends[1], 64 * 1024);
            logger = std::make_unique<spdlog::logger>("test", sink);
            logger->set_pattern("%v");
        }
        ~bounded_sink_fixture()
        {
            close(ends[0]);
            close(ends[1]);
        }

        std::string readAvailable()
        {
            std::string text(256 * 1024, '\0');
            fcntl(ends[0], F_SETFL, O_NONBLOCK);
            const ssize_t size = read(ends[0], text.data(), text.size());
            text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
            return text;
        }

        int ends[2] = {};
        std::shared_ptr<bounded_sink> sink;
        std::unique_ptr<spdlog::logger> logger;
    };

} // namespace

TEST_CASE_METHOD(bounded_sink_fixture, "log_sink.active_reader.gets_each_line")
{
    logger->info("one");
    logger->info("two");
    REQUIRE(readAvailable() == "one\ntwo\n");
    REQUIRE(sink->lostLines() == 0);
}

TEST_CASE_METHOD(bounded_sink_fixture, "log_sink.stalled_reader.does_not_block_the_logger_and_lost_lines_are_counted")
{
    const std::string line(1000, 'x');
    for (int i = 0; i < 1000; ++i)
        logger->info(line);
    REQUIRE(sink->lostLines() > 0);
    std::string all;
    for (int i = 0; i < 20; ++i) {
        all += readAvailable();
        logger->info("later");
    }
    all += readAvailable();
    REQUIRE(all.find("\"lines-lost\",\"count\":") != std::string::npos);
    REQUIRE(all.find("later") != std::string::npos);
}

TEST_CASE("line_limiter.lines_above_the_limit.are_suppressed_and_reported_with_the_next", "[log]")
{
    line_limiter limiter(2, 1s);
    const time_point begin = time_point(10s);
    REQUIRE(limiter.check("a", begin).passes);
    REQUIRE(limiter.check("a", begin).passes);
    REQUIRE_FALSE(limiter.check("a", begin).passes);
    REQUIRE_FALSE(limiter.check("a", begin + 900ms).passes);
    REQUIRE(limiter.check("b", begin).passes);
    const line_limiter::verdict next = limiter.check("a", begin + 1s);
    REQUIRE(next.passes);
    REQUIRE(next.suppressed == 2);
    REQUIRE(limiter.check("a", begin + 1s).suppressed == 0);
}

TEST_CASE("log_line.json_of_a_vm.is_parsed", "[log]")
{
    const auto line = parseLogLine(
        R"(front-1 {"time":"t","level":"info","vm":"v","service":"requests","message":"request-answered","request":"r"})");
    REQUIRE(line);
    REQUIRE(line->what == "request-answered");
    REQUIRE(line->field("request") == "r");
    REQUIRE(line->vm == "v");
    REQUIRE_FALSE(parseLogLine("[error] something else"));
    REQUIRE_FALSE(parseLogLine("{\"time\":"));
    REQUIRE_FALSE(parseLogLine("{\"other\":1}"));
}

TEST_CASE("log_statistics.events.are_counted_by_service_name_and_detail")
{
    log_statistics subject;
    subject.note({ log_level::Info, "requests", "attempt-ended", { { "end", "lost" }, { "failure", "timeout" } } });
    subject.note({ log_level::Info, "requests", "attempt-ended", { { "failure", "timeout" } } });
    subject.note({ log_level::Debug, "requests", "attempt-ended", { { "end", "answered" } } });
    REQUIRE(subject.events().at({ "requests", "attempt-ended", "timeout" }) == 2);
    REQUIRE(subject.events().at({ "requests", "attempt-ended", "answered" }) == 1);
}

TEST_CASE("exposed_state.numbers_flags_and_events.become_metrics")
{
    state_dump root;
    state_dump& service = root.addObject("slots");
    service.add("placed", 7);
    service.add("leading", true);
    service.add("why", "text");
    service.addObject("own_requests").add("u1", 3);
    const auto logged = std::make_shared<log_statistics>();
    logged->note({ log_level::Info, "requests", "caller-left", {} });
    logged->countSuppressed();
    logged->setLost(4);
    const std::unique_ptr<metrics> numbers = metrics::create();
    exposeState(
        *numbers, [&root] { return root; }, logged);
    const std::string text = numbers->exposition();
    for (const char* line : { "plantainlatch_state{service=\"slots\",item=\"placed\"} 7\n",
             "plantainlatch_state{service=\"slots\",item=\"leading\"} 1\n",
             "plantainlatch_state{service=\"slots\",item=\"own_requests.u1\"} 3\n",
             "plantainlatch_events_total{service=\"requests\",event=\"caller-left\",detail=\"\"} 1\n",
             "plantainlatch_log_lines_missing_total{why=\"limit\"} 1\n",
             "plantainlatch_log_lines_missing_total{why=\"reader\"} 4\n" }) {
        CAPTURE(line);
        REQUIRE_THAT(text, Catch::Contains(line));
    }
    REQUIRE_THAT(text, !Catch::Contains("item=\"why\""));
}

TEST_CASE("metrics.answer_times.are_labelled_by_route")
{
    const std::unique_ptr<metrics> numbers = metrics::create();
    numbers->recordAnswer(
        { route_id("r1"), service_id("booking") }, outcome::Completed, answer_reason::Upstream, 300ms);
    REQUIRE_THAT(numbers->exposition(),
        Catch::Contains("plantainlatch_answer_seconds_count{route=\"r1\",service=\"booking\",outcome=\"completed\""));
}

} // namespace plantainlatch
