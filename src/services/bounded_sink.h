#pragma once

/** \file
 * A log sink that never blocks: lines that can't be written yet are kept in a bounded buffer, and lines that
 * do not fit there are dropped and counted.
 */

#include <cstdint>
#include <mutex>
#include <string>

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

namespace plantainlatch {

/** Writes complete lines to a file descriptor, which it does not own. */
class bounded_sink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
public:
    /** `capacity` is the size of the buffer in bytes. Once there is room again, a separate line reports the
     * number of dropped lines. */
    bounded_sink(int descriptor, std::size_t capacity);

    std::uint64_t lostLines() const { return m_lost; }

protected:
    void sink_it_(const spdlog::details::log_msg& message) override;
    void flush_() override;

private:
    void append(const char* text, std::size_t size);

    int m_descriptor;
    std::size_t m_capacity;
    std::string m_buffer;
    std::uint64_t m_lost = 0;
    std::uint64_t m_unreportedLost = 0;
};

} // namespace plantainlatch
