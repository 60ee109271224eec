#pragma once

/** \file
 * Matches requests to routes and splits the requests of a route among its services.
 */

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "model/configuration.h"

namespace plantainlatch {

/** The routes of the configuration in force, indexed by host. */
class route_table {
public:
    /** Loads the routes of a configuration, if its number differs from that of the current one. Pointers that find()
     * returned become invalid. */
    void update(const configuration& config);

    /** Returns the route of this host with the longest path prefix that matches the target, or null if none matches.
     * The port and the case of the host are ignored. */
    const route_definition* find(std::string_view host, std::string_view target) const;

    /** Chooses the service for the next request of a route by smooth weighted round robin. The number of requests that
     * a service has received exceeds its share by weight by less than one. With two services, it also falls short of
     * the share by less than one. */
    service_id chooseService(const route_definition& route);

private:
    change_number m_number;
    /** By host; the longest prefix first. */
    std::map<std::string, std::vector<route_definition>, std::less<>> m_byHost;
    /** The current weights of the round robin, for routes with several services: how far each service is behind its
     * share, in units of the weights. */
    std::map<route_id, std::vector<double>> m_currentWeights;
};

/** Validates the routes of a proposed configuration and adds each error to `findings`. */
void checkRoutes(const configuration& config, const std::string& fileName, finding_list& findings);

} // namespace plantainlatch
