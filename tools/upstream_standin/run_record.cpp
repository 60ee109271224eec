#include "upstream_standin/run_record.h"

#include <fcntl.h>
#include <unistd.h>

#include "absl/strings/str_cat.h"
#include "core/internal_assert.h"

namespace plantainlatch {

namespace {

    constexpr int noFile = -1;
    constexpr int newFileMode = 0644;

    std::string orDash(const std::string& text) { return text.empty() ? "-" : text; }

} // namespace

absl::StatusOr<std::unique_ptr<run_record>> run_record::create(const std::string& path)
{
    if (path.empty())
        return std::unique_ptr<run_record>(new run_record(noFile));
    const int file = open(path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, newFileMode);
    if (file < 0)
        return absl::PermissionDeniedError(absl::StrCat(path, ": can't be written"));
    return std::unique_ptr<run_record>(new run_record(file));
}

run_record::~run_record()
{
    if (m_file != noFile)
        close(m_file);
}

void run_record::add(
    const std::string& upstream, const std::string& method, const std::string& request, const std::string& key)
{
    if (m_file == noFile)
        return;
    const std::string line = absl::StrCat(upstream, " ", method, " ", orDash(request), " ", orDash(key), "\n");
    const ssize_t written = write(m_file, line.data(), line.size());
    internal_assert(written == static_cast<ssize_t>(line.size())) << "the record can't be written";
}

} // namespace plantainlatch
