#include "error/descriptor_limit.h"

#include <sys/resource.h>
#include <unistd.h>

#include "core/internal_assert.h"

namespace plantainlatch {

namespace {

    void setLimit(rlim_t count)
    {
        rlimit limit {};
        getrlimit(RLIMIT_NOFILE, &limit);
        limit.rlim_cur = count;
        internal_assert(setrlimit(RLIMIT_NOFILE, &limit) == 0) << "the limit on file descriptors can't be set";
    }

} // namespace

descriptor_limit::descriptor_limit(std::size_t free)
{
    rlimit former {};
    getrlimit(RLIMIT_NOFILE, &former);
    m_former = former.rlim_cur;
    const int lowestFree = dup(STDIN_FILENO);
    internal_assert(lowestFree >= 0) << "there is no free file descriptor";
    close(lowestFree);
    m_count = static_cast<std::size_t>(lowestFree) + free;
    setLimit(m_count);
}

descriptor_limit::~descriptor_limit() { setLimit(m_former); }

} // namespace plantainlatch
