#pragma once

/** \file
 * Finds the route of a request and the service that takes it.
 */

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "model/configuration.h"

namespace plantainlatch {

/** The routes of the configuration in force, by host and path. */
class route_table {
public:
    /** Takes over the routes of a configuration, unless they are those that it has. The configuration must outlive
     * their use until the next follow(). */
    void follow(const configuration& config);

    /** The route of this host with the longest prefix that begins the target's path; null without one. The host's port
     * and case don't count. */
    const route_definition* find(std::string_view host, std::string_view target) const;

    /** The next service of a route: over any run of requests each service has its weight's share, but for one
     * request. */
    service_id chooseService(const route_definition& route);

private:
    change_number m_number;
    /** By host; the longest prefix first. */
    std::map<std::string, std::vector<route_definition>, std::less<>> m_byHost;
    /** How much of its share each service of a split route is owed, in units of the weights. */
    std::map<route_id, std::vector<double>> m_owed;
};

/** What is wrong with the routes of a configuration that is to be put in force. */
void checkRoutes(const configuration& config, const std::string& fileName, finding_list& findings);

} // namespace plantainlatch
