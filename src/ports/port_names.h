#pragma once

/** \file
 * The names under which services publish their interfaces; a service and its interface share the name.
 */

namespace plantainlatch::port_names {

/** peer_port: messages to other VMs. */
inline constexpr const char* peers = "peers";
/** peer_router: received messages by type. */
inline constexpr const char* peerRouter = "peer_router";
/** storage_port: the replica's durable state. */
inline constexpr const char* storage = "storage";
/** upstream_port: calls to upstreams. */
inline constexpr const char* upstreams = "upstreams";
/** consensus_port: proposals to the replicated log. */
inline constexpr const char* consensus = "consensus";
/** control_port: the replicated control state and its changes. */
inline constexpr const char* control = "control";
/** directory_port: announcements of upstreams. */
inline constexpr const char* directory = "directory";
/** slot_port: slots of upstreams. */
inline constexpr const char* slots = "slots";
/** request_port: requests of callers. */
inline constexpr const char* requests = "requests";
/** operator_port: declarations, drains and status for operators. */
inline constexpr const char* operators = "operators";
/** entry_list_port: the entries that callers should use. */
inline constexpr const char* entryList = "entry_list";

/** liveness_port: when upstreams last renewed their announcements. */
inline constexpr const char* liveness = "liveness";
/** membership_port: live VMs and allocator leases. */
inline constexpr const char* membership = "membership";
/** measurement_port: request rates, failures and latencies measured by this VM. */
inline constexpr const char* measurements = "measurements";
/** shift_port: traffic shares and shifts. */
inline constexpr const char* shifts = "shifts";

/** quota_port: the quotas of client accounts. */
inline constexpr const char* quotas = "quotas";

/** configuration_port: whole configurations, and drains. */
inline constexpr const char* configurations = "configurations";

/** alert_port: active alerts. */
inline constexpr const char* alerts = "alerts";

} // namespace plantainlatch::port_names
