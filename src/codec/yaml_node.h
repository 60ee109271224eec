#pragma once

/** \file
 * A YAML document as a bounded tree whose every part knows its place.
 */

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "core/findings.h"

namespace plantainlatch {

struct yaml_field;

/** A scalar, a list or a map. */
struct yaml_node {
    enum class kind { Null, Scalar, List, Map };

    kind type = kind::Null;
    text_position place;
    /** Of a scalar. */
    std::string text;
    /** Of a list. */
    std::vector<yaml_node> items;
    /** Of a map, in the order of the text. */
    std::vector<yaml_field> fields;
};

/** A key of a map with its value. */
struct yaml_field {
    std::string key;
    text_position place;
    yaml_node value;
};

/** The largest text that is read, in bytes. */
inline constexpr std::size_t largestYamlText = 4 * 1024 * 1024;
/** The deepest nesting of lists and maps. */
inline constexpr std::size_t largestYamlDepth = 16;
/** The most scalars, lists and maps of one document. */
inline constexpr std::size_t largestYamlNodes = 200'000;

/** The most keys of one map. */
inline constexpr std::size_t largestYamlFields = 100;

/** Reads one document; anchors, aliases, tags, doubled keys and anything past the bounds are findings. The status is
 * InvalidArgument when there were any. */
absl::StatusOr<yaml_node> parseYaml(const std::string& text, const std::string& fileName, finding_list& findings);

} // namespace plantainlatch
