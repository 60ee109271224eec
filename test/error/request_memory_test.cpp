#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "absl/strings/str_cat.h"
#include "error/request_memory.h"

namespace plantainlatch {

namespace {

    /** Heads with fields of any length, and bodies with a length, in chunks, or none. */
    rc::Gen<std::string> genRequest()
    {
        return rc::gen::exec([] {
            const auto text
                = [](std::size_t maximum) { return std::string(*rc::gen::inRange<std::size_t>(0, maximum), 'v'); };
            std::string request = absl::StrCat("POST /", text(300), " HTTP/1.1\r\n");
            const int fields = *rc::gen::inRange(0, *rc::gen::element(3, 40, 1500));
            const std::size_t longest = *rc::gen::element<std::size_t>(2, 20, 400);
            for (int i = 0; i < fields; ++i)
                absl::StrAppend(&request, "n", text(longest), ":", text(longest), "\r\n");
            const std::string body = text(*rc::gen::element<std::size_t>(1, 200, 90'000));
            switch (*rc::gen::inRange(0, 3)) {
            case 0:
                return absl::StrCat(request, "Content-Length: ", body.size(), "\r\n\r\n", body);
            case 1: {
                const std::size_t chunk = *rc::gen::element<std::size_t>(1, 13, 5000);
                absl::StrAppend(&request, "Transfer-Encoding: chunked\r\n\r\n");
                for (std::size_t at = 0; at < body.size(); at += chunk) {
                    const std::string part = body.substr(at, chunk);
                    absl::StrAppend(&request, absl::Hex(part.size()), "\r\n", part, "\r\n");
                }
                return request + "0\r\n\r\n";
            }
            default:
                return request + "\r\n";
            }
        });
    }

} // namespace

// Guards against requests that take more memory than is counted, whatever their parts look like and however they
// arrive.
TEST_CASE("http_request_parser.any_request.takes_no_more_memory_than_it_reports")
{
    rc::prop("requests", [] {
        const std::string stream = *genRequest() + *genRequest();
        const std::size_t cut = *rc::gen::inRange<std::size_t>(0, stream.size() + 1);
        const std::size_t piece = *rc::gen::element<std::size_t>(1, 7, 1000, 100'000);
        const std::size_t allowed = *rc::gen::element<std::size_t>(0, 8'000, 10'000'000);
        RC_ASSERT(reportsAllMemory(std::string_view(stream).substr(0, cut), piece, allowed));
    });
}

} // namespace plantainlatch
