#pragma once

/** \file
 * Serializes a declaration as YAML in the format of declaration files.
 */

#include <string>

#include "model/declaration.h"

namespace plantainlatch {

/** The result parses with parseDeclaration() to an equal declaration; text positions are not written. */
std::string writeDeclaration(const declaration& content);

} // namespace plantainlatch
