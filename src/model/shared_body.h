#pragma once

/** \file
 * The body of a request or an answer, of which all stages hold the same copy.
 */

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace plantainlatch {

/** Immutable bytes that are shared and not copied with the object. */
class shared_body {
public:
    shared_body() = default;
    shared_body(std::string bytes)
        : m_bytes(bytes.empty() ? nullptr : std::make_shared<const std::string>(std::move(bytes)))
    {
    }
    shared_body(const char* bytes)
        : shared_body(std::string(bytes))
    {
    }

    bool empty() const { return m_bytes == nullptr; }
    std::size_t size() const { return m_bytes == nullptr ? 0 : m_bytes->size(); }
    const std::string& bytes() const
    {
        static const std::string none;
        return m_bytes == nullptr ? none : *m_bytes;
    }

    friend bool operator==(const shared_body& left, std::string_view right) { return left.bytes() == right; }

private:
    std::shared_ptr<const std::string> m_bytes;
};

} // namespace plantainlatch
