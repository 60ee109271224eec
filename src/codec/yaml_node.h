#pragma once

/** \file
 * Parses a YAML document into a tree of limited size and depth whose nodes have their text positions.
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
    text_position position;
    /** The value of a scalar. */
    std::string text;
    /** The items of a list. */
    std::vector<yaml_node> items;
    /** The fields of a map, in the order of the text. */
    std::vector<yaml_field> fields;
};

/** A key of a map with its value; the position is that of the key. */
struct yaml_field {
    std::string key;
    text_position position;
    yaml_node value;
};

/** The maximum size of a document in bytes. */
inline constexpr std::size_t maximumYamlBytes = 4 * 1024 * 1024;
/** The maximum nesting of lists and maps. */
inline constexpr std::size_t maximumYamlDepth = 16;
/** The maximum number of scalars, lists and maps in a document. */
inline constexpr std::size_t maximumYamlNodes = 200'000;

/** The maximum number of keys in a map. */
inline constexpr std::size_t maximumYamlFields = 100;

/**
 * Parses a single document. Anchors, aliases, tags, duplicate keys and documents that exceed the limits above add a
 * finding; the status is InvalidArgument if there are any.
 */
absl::StatusOr<yaml_node> parseYaml(const std::string& text, const std::string& fileName, finding_list& findings);

} // namespace plantainlatch
