#pragma once

/** \file
 * A sink of log lines that never blocks: what the reader doesn't take waits in a bounded buffer, and what doesn't fit
 * there is counted.
 */

#include <cstdint>
#include <mutex>
#include <string>

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

namespace plantainlatch {

/** Writes whole lines to a file descriptor, which it doesn't own. */
class bounded_sink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
public:
    /** `capacity` is in bytes; a line that is lost is told in the next one that fits. */
    bounded_sink(int descriptor, std::size_t capacity);

    std::uint64_t lostLines() const { return m_lost; }

protected:
    void sink_it_(const spdlog::details::log_msg& message) override;
    void flush_() override;

private:
    void keep(const char* text, std::size_t size);

    int m_descriptor;
    std::size_t m_capacity;
    std::string m_buffer;
    std::uint64_t m_lost = 0;
    std::uint64_t m_untold = 0;
};

} // namespace plantainlatch
