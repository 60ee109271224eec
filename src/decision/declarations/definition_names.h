#pragma once

/** \file
 * The keys of definitions in a configuration, and their names in messages.
 */

#include <string>

#include "model/configuration.h"

namespace plantainlatch {

inline region_id keyOf(const region_definition& item) { return item.id; }
inline service_id keyOf(const service_definition& item) { return item.id; }
inline upstream_id keyOf(const upstream_definition& item) { return item.id; }
inline shift_id keyOf(const shift_definition& item) { return item.id; }
inline share_key keyOf(const share_definition& item) { return { item.service, item.failureDomain }; }
inline link_key keyOf(const link_definition& item)
{
    return item.left < item.right ? link_key { item.left, item.right } : link_key { item.right, item.left };
}

/** Formats the definition for messages, such as `region 'fukuoka'` or `share of 'booking' in 'kokura'`. */
std::string describeName(const region_definition& item);
std::string describeName(const service_definition& item);
std::string describeName(const upstream_definition& item);
std::string describeName(const shift_definition& item);
std::string describeName(const share_definition& item);
std::string describeName(const link_definition& item);

/** Calls `visit(changes, map)` for each kind of definition, with the changes in the declaration and the map of that
 * kind in the configuration. */
template <typename Declaration, typename Configuration, typename Visit>
void forEachKind(Declaration& content, Configuration& config, Visit visit)
{
    visit(content.regions, config.regions);
    visit(content.links, config.links);
    visit(content.services, config.services);
    visit(content.shares, config.shares);
    visit(content.upstreams, config.upstreams);
    visit(content.shifts, config.shifts);
}

} // namespace plantainlatch
