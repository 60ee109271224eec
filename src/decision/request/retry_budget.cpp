#include "decision/request/retry_budget.h"

#include <algorithm>

#include "core/internal_assert.h"

namespace plantainlatch {

void retry_budget::recordRequest()
{
    ++m_requests;
    if (m_requests > requestsPerRetry)
        m_savedBudget = std::min(m_savedBudget + 1, maximumSavedRetries * requestsPerRetry);
}

bool retry_budget::tryAcquire()
{
    if (m_savedBudget < requestsPerRetry)
        return false;
    m_savedBudget -= requestsPerRetry;
    ++m_spent;
    internal_assert(m_spent <= std::max<std::uint64_t>(1, m_requests / requestsPerRetry))
        << m_spent << " retries for " << m_requests << " requests";
    return true;
}

} // namespace plantainlatch
