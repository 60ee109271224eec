#pragma once

/** \file
 * Distinct types for names and numbers, so that, for example, the id of a service cannot be passed as that of a region.
 */

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace plantainlatch {

/** A name; each Tag gives a distinct type. */
template <typename Tag> class strong_name {
public:
    strong_name() = default;
    explicit strong_name(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string& value() const { return m_value; }
    bool empty() const { return m_value.empty(); }

    friend auto operator<=>(const strong_name&, const strong_name&) = default;

    template <typename Hash> friend Hash AbslHashValue(Hash state, const strong_name& name)
    {
        return Hash::combine(std::move(state), name.m_value);
    }

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.m_value);
    }

private:
    std::string m_value;
};

/** A number; each Tag gives a distinct type. */
template <typename Tag> class strong_number {
public:
    constexpr strong_number() = default;
    constexpr explicit strong_number(std::uint64_t value)
        : m_value(value)
    {
    }

    constexpr std::uint64_t value() const { return m_value; }
    constexpr strong_number next() const { return strong_number(m_value + 1); }

    friend constexpr auto operator<=>(const strong_number&, const strong_number&) = default;

    template <typename Hash> friend Hash AbslHashValue(Hash state, const strong_number& number)
    {
        return Hash::combine(std::move(state), number.m_value);
    }

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.m_value);
    }

private:
    std::uint64_t m_value = 0;
};

} // namespace plantainlatch
