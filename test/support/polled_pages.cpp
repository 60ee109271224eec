#include "support/polled_pages.h"

#include <algorithm>

#include "decision/vm/routed_vm.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;
    using kind = call_behaviour::kind;

    constexpr const char* crashHeader = "X-Crash";

    request_options platformOptions()
    {
        routed_bounds bounds;
        bounds.retryShare = 0.2;
        bounds.retryWindow = 10s;
        bounds.retrySlack = 60;
        request_options options = routedOptionsFor(bounds).requests;
        options.chargesQuotas = false;
        return options;
    }

    bool isCrashing(const upstream_call& call)
    {
        return std::any_of(call.headers.begin(), call.headers.end(),
            [](const header_field& field) { return field.name == crashHeader; });
    }

} // namespace

polled_pages::polled_pages(std::uint64_t seed, std::size_t entryCount, std::size_t upstreamCount, std::uint32_t slots)
    : cluster(seed, entryCount, upstreamCount, slots, platformOptions())
{
    cluster.upstreams.restartAfter = 4s;
    cluster.upstreams.behaviour = [this](const upstream_call& call) {
        if (!isCrashing(call))
            return call_behaviour { kind::Answer, work };
        crashingCalls.push_back(cluster.runtime.now());
        return call_behaviour { kind::Crash, 3ms };
    };
}

caller_record& polled_pages::send(
    std::size_t entry, std::uint64_t caller, const std::string& target, bool crashes, bool isPost)
{
    caller_request request;
    request.method = isPost ? "POST" : "GET";
    request.target = target;
    request.sentFrom = caller_address(caller);
    request.deadline = 4s;
    if (crashes)
        request.headers.push_back({ crashHeader, "1" });
    return cluster.send(entry, std::move(request));
}

void polled_pages::poll(duration span, duration pause, const std::string& target, bool isPost)
{
    const time_point end = cluster.runtime.now() + span;
    while (cluster.runtime.now() < end) {
        const std::size_t number = m_polls++;
        send(number % cluster.entries.size(), 1 + number % callerCount, target, false, isPost);
        cluster.runtime.advance(pause);
    }
}

std::size_t polled_pages::unservedSince(std::size_t begin) const
{
    return std::count_if(cluster.sent.begin() + static_cast<std::ptrdiff_t>(begin), cluster.sent.end(),
        [](const auto& record) { return !record->answer || record->answer->content.status != 200; });
}

} // namespace plantainlatch
