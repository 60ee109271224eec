#include "support/temporary_folder.h"

#include <cstdlib>
#include <filesystem>
#include <system_error>

#include "core/internal_assert.h"

namespace plantainlatch {

temporary_folder::temporary_folder()
    : m_path((std::filesystem::temp_directory_path() / "plantainlatch-test.XXXXXX").string())
{
    internal_assert(mkdtemp(m_path.data()) != nullptr) << "the temporary folder " << m_path << " can't be created";
}

temporary_folder::~temporary_folder()
{
    std::error_code ignored;
    if (!m_isKept)
        std::filesystem::remove_all(m_path, ignored);
}

} // namespace plantainlatch
