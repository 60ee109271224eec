#pragma once

/** \file
 * Finds the client account of a request by its credential.
 */

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "model/configuration.h"

namespace plantainlatch {

/** The accounts of the configuration in force, indexed by credential. */
class account_table {
public:
    /** Loads the accounts of a configuration, if its number differs from that of the current one. Pointers that find()
     * returned become invalid. */
    void update(const configuration& config);

    /** Returns the account with this credential, or null; in constant time. */
    const client_account* find(const std::string& credential) const;

private:
    change_number m_number;
    /** Without their credentials. */
    std::vector<client_account> m_accounts;
    /** Positions in m_accounts. */
    absl::flat_hash_map<std::string, std::size_t> m_byCredential;
};

/** The regions that both lists allow; an empty list allows all regions. None if both lists name regions and have none
 * in common: no region is allowed then, whereas an empty list would allow all. */
std::optional<std::vector<region_id>> commonRegions(
    const std::vector<region_id>& left, const std::vector<region_id>& right);

} // namespace plantainlatch
