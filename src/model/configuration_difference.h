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

struct configuration_difference {
    /** The later configuration without its routes and its document. */
    configuration other;
    std::vector<route_id> removedRoutes;
    /** Routes that keep their position. */
    std::vector<route_definition> changedRoutes;
    /** Routes that follow all others. */
    std::vector<route_definition> addedRoutes;
    std::vector<text_edit> document;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.other, self.removedRoutes, self.changedRoutes, self.addedRoutes, self.document);
    }
};

} // namespace plantainlatch
