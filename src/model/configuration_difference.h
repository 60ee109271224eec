#pragma once

/** \file
 * The difference between two whole configurations, so that what is sent and stored for a change grows with the change.
 */

#include <cstdint>
#include <string>
#include <vector>

#include "model/configuration.h"

namespace plantainlatch {

/** A part of a text: bytes copied from the former text, followed by new ones. */
struct text_edit {
    std::uint64_t copyFrom = 0;
    std::uint64_t copySize = 0;
    std::string added;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.copyFrom, self.copySize, self.added);
    }
};

/** A part of a list of routes: routes copied from the former list, followed by new or changed ones. */
struct route_edit {
    std::uint64_t copyFrom = 0;
    std::uint64_t copyCount = 0;
    std::vector<route_definition> added;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.copyFrom, self.copyCount, self.added);
    }
};

struct configuration_difference {
    /** The later configuration without its routes, its accounts and its document, with its admission. */
    configuration other;
    std::vector<route_edit> routes;
    std::vector<text_edit> document;
    /** The accounts that are new or differ. */
    std::vector<client_account> changedAccounts;
    std::vector<account_id> removedAccounts;

    /** The number of fields before `changedAccounts` was added. */
    static constexpr std::uint32_t requiredFields = 3;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.other, self.routes, self.document, self.changedAccounts, self.removedAccounts);
    }
};

} // namespace plantainlatch
