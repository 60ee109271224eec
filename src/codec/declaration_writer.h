#pragma once

/** \file
 * Writes a declaration as the YAML that operators keep.
 */

#include <string>

#include "model/declaration.h"

namespace plantainlatch {

/** YAML that parseDeclaration() reads back as the same declaration, without places. */
std::string writeDeclaration(const declaration& content);

} // namespace plantainlatch
