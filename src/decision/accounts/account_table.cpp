#include "decision/accounts/account_table.h"

#include <algorithm>
#include <iterator>

namespace plantainlatch {

void account_table::update(const configuration& config)
{
    if (config.number == m_number)
        return;
    m_number = config.number;
    m_accounts.clear();
    m_byCredential.clear();
    m_accounts.reserve(config.accounts.size());
    for (const auto& [id, account] : config.accounts) {
        for (const std::string& credential : account.credentials)
            m_byCredential.emplace(credential, m_accounts.size());
        m_accounts.push_back({ account.id, {}, account.priority, account.quota, account.allowedRegions });
    }
}

const client_account* account_table::find(const std::string& credential) const
{
    const auto found = m_byCredential.find(credential);
    return found == m_byCredential.end() ? nullptr : &m_accounts[found->second];
}

std::optional<std::vector<region_id>> commonRegions(
    const std::vector<region_id>& left, const std::vector<region_id>& right)
{
    if (left.empty() || right.empty())
        return left.empty() ? right : left;
    std::vector<region_id> common;
    std::copy_if(left.begin(), left.end(), std::back_inserter(common),
        [&right](const region_id& region) { return std::find(right.begin(), right.end(), region) != right.end(); });
    return common.empty() ? std::nullopt : std::optional(std::move(common));
}

} // namespace plantainlatch
