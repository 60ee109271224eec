#include "core/internal_assert.h"

#include <cstdio>
#include <cstdlib>
#include <utility>

namespace plantainlatch {

namespace {

    internal_error_handler& currentHandler()
    {
        static internal_error_handler handler = [](const std::string& text) {
            std::fprintf(stderr, "%s\n", text.c_str());
            std::abort();
        };
        return handler;
    }

} // namespace

internal_error_handler setInternalErrorHandler(internal_error_handler handler)
{
    return std::exchange(currentHandler(), std::move(handler));
}

internal_error_report::internal_error_report(const char* file, int line, const char* condition)
{
    m_text << "internal error at " << file << ":" << line << ": " << condition << " does not hold: ";
}

internal_error_report::~internal_error_report() noexcept(false) { currentHandler()(m_text.str()); }

} // namespace plantainlatch
