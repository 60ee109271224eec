#pragma once

/** \file
 * Estimates the encoded size of a value with visitFields(), to bound the size of messages and memory.
 */

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace plantainlatch {

namespace detail {

    /** The size assumed for a number, or for the length prefix of a string or collection, in bytes. */
    constexpr std::size_t scalarSize = 5;

    struct size_adder;

    template <typename Value>
    concept sizable = requires(const Value& value, size_adder& adder)
    {
        Value::visitFields(value, adder);
    };

    struct size_adder {
        std::size_t bytes = 0;

        template <typename... Fields> void operator()(const Fields&... fields) { (add(fields), ...); }

        template <typename Value>
        requires(std::is_arithmetic_v<Value> || std::is_enum_v<Value>) void add(const Value&) { bytes += scalarSize; }
        template <typename Rep, typename Period> void add(const std::chrono::duration<Rep, Period>&)
        {
            bytes += scalarSize;
        }
        template <typename Clock, typename Span> void add(const std::chrono::time_point<Clock, Span>&)
        {
            bytes += scalarSize;
        }
        void add(const std::string& value) { bytes += scalarSize + value.size(); }
        template <typename Value> void add(const std::optional<Value>& value)
        {
            bytes += 1;
            if (value)
                add(*value);
        }
        template <typename Left, typename Right> void add(const std::pair<Left, Right>& value)
        {
            add(value.first);
            add(value.second);
        }
        template <typename Value> void add(const std::vector<Value>& values) { addAll(values); }
        template <typename Value> void add(const std::set<Value>& values) { addAll(values); }
        template <typename Key, typename Value> void add(const std::map<Key, Value>& values) { addAll(values); }
        template <typename... Alternatives> void add(const std::variant<Alternatives...>& value)
        {
            bytes += scalarSize;
            std::visit([this](const auto& alternative) { this->add(alternative); }, value);
        }
        template <sizable Value> void add(const Value& value)
        {
            bytes += 1;
            Value::visitFields(value, *this);
        }

    private:
        template <typename Values> void addAll(const Values& values)
        {
            bytes += scalarSize;
            for (const auto& value : values)
                add(value);
        }
    };

} // namespace detail

/** The approximate encoded size in bytes; visits the whole value. */
template <typename Value> std::size_t approximateSize(const Value& value)
{
    detail::size_adder adder;
    adder.add(value);
    return adder.bytes;
}

} // namespace plantainlatch
