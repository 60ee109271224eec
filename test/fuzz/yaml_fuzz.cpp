/** \file
 * Fuzzes the parsers of settings and declarations.
 */

#include <cstddef>
#include <cstdint>
#include <string>

#include "codec/declaration_yaml.h"
#include "codec/settings_yaml.h"

// NOLINTNEXTLINE(readability-identifier-naming): the library calls it by this name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char*>(data), size);
    plantainlatch::finding_list findings;
    plantainlatch::parseSettings(text, "settings.yaml", findings).status().IgnoreError();
    plantainlatch::finding_list declarationFindings;
    plantainlatch::parseDeclaration(text, "1.yaml", declarationFindings).status().IgnoreError();
    return 0;
}
