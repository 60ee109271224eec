#pragma once

/** \file
 * Encodes and decodes as MessagePack every type that has visitFields(): the messages between VMs and durable records.
 *
 * A structure is an array of its fields in the order of visitFields(), a variant is a pair of the index of its
 * alternative and the value, and a duration is its number of ticks. So the order of fields and of alternatives is part
 * of the format. Include this header in .cpp files only, as it pulls in the whole msgpack library.
 */

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include <msgpack.hpp>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace plantainlatch::msgpack_codec {

/** The maximum nesting of arrays in decoded bytes. */
inline constexpr std::size_t maximumDepth = 32;

using packer = msgpack::packer<msgpack::sbuffer>;

/** Counts the fields of a structure. */
struct field_counter {
    std::uint32_t count = 0;

    template <typename... Fields> void operator()(const Fields&...) { count = sizeof...(Fields); }
};

template <typename Value>
concept visitable = requires(Value& value, field_counter& counter)
{
    Value::visitFields(value, counter);
};

template <typename Value> void pack(packer& out, const Value& value);

template <typename Value> bool unpack(const msgpack::object& in, Value& value);

namespace detail {

    template <typename Value> struct coder;

    template <typename Value>
    requires(std::is_arithmetic_v<Value>) struct coder<Value> {
        static void pack(packer& out, const Value& value) { out.pack(value); }
        static bool unpack(const msgpack::object& in, Value& value)
        {
            // The type is checked here; convert() throws if the value is out of range, which decode() catches.
            const bool isNumber = in.type == msgpack::type::POSITIVE_INTEGER
                || in.type == msgpack::type::NEGATIVE_INTEGER || in.type == msgpack::type::FLOAT32
                || in.type == msgpack::type::FLOAT64 || in.type == msgpack::type::BOOLEAN;
            if (!isNumber)
                return false;
            in.convert(value);
            return true;
        }
    };

    template <typename Value>
    requires(std::is_enum_v<Value>) struct coder<Value> {
        static void pack(packer& out, const Value& value) { out.pack(static_cast<std::uint32_t>(value)); }
        static bool unpack(const msgpack::object& in, Value& value)
        {
            std::uint32_t number = 0;
            if (!coder<std::uint32_t>::unpack(in, number))
                return false;
            value = static_cast<Value>(number);
            return true;
        }
    };

    template <> struct coder<std::string> {
        static void pack(packer& out, const std::string& value)
        {
            out.pack_str(static_cast<std::uint32_t>(value.size()));
            out.pack_str_body(value.data(), static_cast<std::uint32_t>(value.size()));
        }
        static bool unpack(const msgpack::object& in, std::string& value)
        {
            if (in.type != msgpack::type::STR)
                return false;
            value.assign(in.via.str.ptr, in.via.str.size);
            return true;
        }
    };

    template <typename Rep, typename Period> struct coder<std::chrono::duration<Rep, Period>> {
        static void pack(packer& out, const std::chrono::duration<Rep, Period>& value)
        {
            out.pack(static_cast<std::int64_t>(value.count()));
        }
        static bool unpack(const msgpack::object& in, std::chrono::duration<Rep, Period>& value)
        {
            std::int64_t count = 0;
            if (!coder<std::int64_t>::unpack(in, count))
                return false;
            value = std::chrono::duration<Rep, Period>(count);
            return true;
        }
    };

    /** Only wall-clock times are encoded, because a monotonic time has no meaning on another machine. */
    template <typename Span> struct coder<std::chrono::time_point<std::chrono::system_clock, Span>> {
        using moment = std::chrono::time_point<std::chrono::system_clock, Span>;
        static void pack(packer& out, const moment& value) { coder<Span>::pack(out, value.time_since_epoch()); }
        static bool unpack(const msgpack::object& in, moment& value)
        {
            Span span {};
            if (!coder<Span>::unpack(in, span))
                return false;
            value = moment(span);
            return true;
        }
    };

    template <typename Value> struct coder<std::optional<Value>> {
        static void pack(packer& out, const std::optional<Value>& value)
        {
            if (value)
                msgpack_codec::pack(out, *value);
            else
                out.pack_nil();
        }
        static bool unpack(const msgpack::object& in, std::optional<Value>& value)
        {
            value.reset();
            return in.type == msgpack::type::NIL || msgpack_codec::unpack(in, value.emplace());
        }
    };

    template <typename Left, typename Right> struct coder<std::pair<Left, Right>> {
        static void pack(packer& out, const std::pair<Left, Right>& value)
        {
            out.pack_array(2);
            msgpack_codec::pack(out, value.first);
            msgpack_codec::pack(out, value.second);
        }
        static bool unpack(const msgpack::object& in, std::pair<Left, Right>& value)
        {
            return in.type == msgpack::type::ARRAY && in.via.array.size == 2
                && msgpack_codec::unpack(in.via.array.ptr[0], value.first)
                && msgpack_codec::unpack(in.via.array.ptr[1], value.second);
        }
    };

    template <typename Value> struct coder<std::vector<Value>> {
        static void pack(packer& out, const std::vector<Value>& values)
        {
            out.pack_array(static_cast<std::uint32_t>(values.size()));
            for (const Value& value : values)
                msgpack_codec::pack(out, value);
        }
        static bool unpack(const msgpack::object& in, std::vector<Value>& values)
        {
            if (in.type != msgpack::type::ARRAY)
                return false;
            values.clear();
            values.reserve(in.via.array.size);
            for (std::uint32_t i = 0; i < in.via.array.size; ++i) {
                if (!msgpack_codec::unpack(in.via.array.ptr[i], values.emplace_back()))
                    return false;
            }
            return true;
        }
    };

    template <typename Value> struct coder<std::set<Value>> {
        static void pack(packer& out, const std::set<Value>& values)
        {
            out.pack_array(static_cast<std::uint32_t>(values.size()));
            for (const Value& value : values)
                msgpack_codec::pack(out, value);
        }
        static bool unpack(const msgpack::object& in, std::set<Value>& values)
        {
            if (in.type != msgpack::type::ARRAY)
                return false;
            values.clear();
            for (std::uint32_t i = 0; i < in.via.array.size; ++i) {
                Value value {};
                if (!msgpack_codec::unpack(in.via.array.ptr[i], value))
                    return false;
                values.insert(std::move(value));
            }
            return true;
        }
    };

    template <typename Key, typename Value> struct coder<std::map<Key, Value>> {
        static void pack(packer& out, const std::map<Key, Value>& values)
        {
            out.pack_array(static_cast<std::uint32_t>(values.size()));
            for (const auto& [key, value] : values) {
                out.pack_array(2);
                msgpack_codec::pack(out, key);
                msgpack_codec::pack(out, value);
            }
        }
        static bool unpack(const msgpack::object& in, std::map<Key, Value>& values)
        {
            if (in.type != msgpack::type::ARRAY)
                return false;
            values.clear();
            for (std::uint32_t i = 0; i < in.via.array.size; ++i) {
                std::pair<Key, Value> item {};
                if (!coder<std::pair<Key, Value>>::unpack(in.via.array.ptr[i], item))
                    return false;
                values.insert(std::move(item));
            }
            return true;
        }
    };

    template <typename... Alternatives> struct coder<std::variant<Alternatives...>> {
        using variant_type = std::variant<Alternatives...>;

        static void pack(packer& out, const variant_type& value)
        {
            out.pack_array(2);
            out.pack(static_cast<std::uint32_t>(value.index()));
            std::visit([&out](const auto& alternative) { msgpack_codec::pack(out, alternative); }, value);
        }
        static bool unpack(const msgpack::object& in, variant_type& value)
        {
            if (in.type != msgpack::type::ARRAY || in.via.array.size != 2)
                return false;
            std::uint32_t position = 0;
            if (!msgpack_codec::unpack(in.via.array.ptr[0], position))
                return false;
            return unpackAt(in.via.array.ptr[1], position, value, std::index_sequence_for<Alternatives...> {});
        }

    private:
        template <std::size_t... Positions>
        static bool unpackAt(
            const msgpack::object& in, std::uint32_t position, variant_type& value, std::index_sequence<Positions...>)
        {
            bool unpacked = false;
            ((position == Positions ? (unpacked = msgpack_codec::unpack(in, value.template emplace<Positions>()))
                                    : false),
                ...);
            return unpacked;
        }
    };

    template <visitable Value> struct coder<Value> {
        static void pack(packer& out, const Value& value)
        {
            field_counter counter;
            Value::visitFields(value, counter);
            out.pack_array(counter.count);
            Value::visitFields(value, [&out](const auto&... fields) { (msgpack_codec::pack(out, fields), ...); });
        }
        static bool unpack(const msgpack::object& in, Value& value)
        {
            if (in.type != msgpack::type::ARRAY)
                return false;
            field_counter counter;
            Value::visitFields(value, counter);
            const std::uint32_t size = in.via.array.size;
            if (size > counter.count || size < requiredFields(counter.count))
                return false;
            bool unpacked = true;
            Value::visitFields(value, [&in, &unpacked, size](auto&... fields) {
                [[maybe_unused]] std::uint32_t position = 0;
                ((unpacked
                     = unpacked && (position >= size || msgpack_codec::unpack(in.via.array.ptr[position], fields)),
                     ++position),
                    ...);
            });
            return unpacked;
        }

    private:
        /** Data folders are read by later versions: a struct to which fields were added at the end names how many it
         * had before, and the added ones keep their defaults if they are missing. */
        static std::uint32_t requiredFields(std::uint32_t all)
        {
            if constexpr (requires { Value::requiredFields; })
                return Value::requiredFields;
            else
                return all;
        }
    };

} // namespace detail

template <typename Value> void pack(packer& out, const Value& value) { detail::coder<Value>::pack(out, value); }

template <typename Value> bool unpack(const msgpack::object& in, Value& value)
{
    return detail::coder<Value>::unpack(in, value);
}

/** Encodes a value. */
template <typename Value> std::string encode(const Value& value)
{
    msgpack::sbuffer buffer;
    packer out(buffer);
    pack(out, value);
    return std::string(buffer.data(), buffer.size());
}

/** Decodes a value that takes up all of `bytes`; InvalidArgument if they are malformed or of another type. */
template <typename Value> absl::StatusOr<Value> decode(std::string_view bytes)
{
    try {
        std::size_t offset = 0;
        // The library allocates the announced number of elements before it reads them. Each element takes at least one
        // byte, so a number of elements above the number of bytes is rejected before the allocation.
        const msgpack::unpack_limit limit(bytes.size(), bytes.size(), bytes.size(), bytes.size(), 0, maximumDepth);
        const msgpack::object_handle handle
            = msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
        Value value {};
        if (offset != bytes.size() || !unpack(handle.get(), value))
            return absl::InvalidArgumentError("the bytes do not encode a value of the expected type");
        return value;
    } catch (const std::exception& error) {
        return absl::InvalidArgumentError(error.what());
    }
}

} // namespace plantainlatch::msgpack_codec
