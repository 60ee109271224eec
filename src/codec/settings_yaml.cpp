#include "codec/settings_yaml.h"

#include <algorithm>
#include <map>
#include <set>

#include "codec/yaml_reader.h"

namespace plantainlatch {

namespace {

    constexpr std::size_t maximumReplicas = 7;
    constexpr duration minimumCacheTime = std::chrono::milliseconds(100);
    constexpr duration maximumCacheTime = std::chrono::minutes(5);

    vm_record readVm(const yaml_node& node, finding_list& findings)
    {
        vm_record record;
        yaml_map_reader reader(node, findings);
        reader.require("vm", record.id);
        reader.require("region", record.region);
        reader.require("failure_domain", record.failureDomain);
        reader.require("caller_address", record.callerAddress);
        reader.require("peer_address", record.peerAddress);
        reader.readOptional("replica", record.replica);
        reader.readOptional("entry", record.entry);
        reader.finish();
        return record;
    }

    /** The values seen so far that must be unique over all VMs, and the region of each failure domain. */
    struct seen_values {
        std::set<vm_id> vms;
        std::set<network_address> addresses;
        std::map<failure_domain_id, region_id> regionOfDomain;
    };

    void checkUnique(const vm_record& record, const text_position& position, seen_values& seen, finding_list& findings)
    {
        if (!record.id.empty() && !seen.vms.insert(record.id).second)
            findings.add(position, absl::StrCat("the VM '", record.id.value(), "' appears twice"), "each VM once");
        for (const network_address& address : { record.callerAddress, record.peerAddress }) {
            if (address.port != 0 && !seen.addresses.insert(address).second)
                findings.add(position, absl::StrCat("the address ", formatAddress(address), " appears twice"),
                    "each address once");
        }
        const auto [known, added] = seen.regionOfDomain.emplace(record.failureDomain, record.region);
        if (!added && known->second != record.region)
            findings.add(position,
                absl::StrCat("the failure domain '", record.failureDomain.value(), "' is in two regions"),
                "one region");
    }

    void readVms(const yaml_node& list, vm_settings& settings, finding_list& findings)
    {
        seen_values seen;
        for (const yaml_node& item : yamlItems(list, findings)) {
            settings.vms.push_back(readVm(item, findings));
            checkUnique(settings.vms.back(), item.position, seen, findings);
        }
        const auto replicas = static_cast<std::size_t>(std::count_if(
            settings.vms.begin(), settings.vms.end(), [](const vm_record& record) { return record.replica; }));
        if (replicas == 0 || replicas > maximumReplicas)
            findings.add(list.position, absl::StrCat(replicas, " replicas"), absl::StrCat("1 to ", maximumReplicas));
    }

    void selectSelf(const yaml_node& node, const vm_id& id, vm_settings& settings, finding_list& findings)
    {
        for (const vm_record& record : settings.vms) {
            if (record.id == id)
                settings.self = record;
        }
        if (settings.self.id.empty())
            findings.add(node.position, absl::StrCat("'", id.value(), "' is not in 'vms'"), "one of 'vms'");
    }

    void readLimits(const yaml_node& node, caller_limits& limits, finding_list& findings)
    {
        yaml_map_reader reader(node, findings);
        if (reader.find("maximum_headers") != nullptr)
            reader.requirePositive("maximum_headers", limits.maximumHeaders);
        if (reader.find("maximum_body") != nullptr)
            reader.requirePositive("maximum_body", limits.maximumBody);
        reader.finish();
    }

    void readDataFolder(yaml_map_reader& reader, const yaml_node& root, vm_settings& settings, finding_list& findings)
    {
        std::string folder;
        const yaml_node* node = reader.find("data_folder");
        if (reader.readOptional("data_folder", folder))
            settings.dataFolder = folder;
        if (settings.self.id.empty())
            return;
        if (settings.self.replica && node == nullptr)
            findings.add(root.position, "no 'data_folder' for a replica", "the folder for its state");
        if (!settings.self.replica && node != nullptr)
            findings.add(node->position, "a 'data_folder' for a VM that is not a replica", "none, or 'replica: true'");
        if (node != nullptr && folder.empty())
            findings.add(node->position, "an empty 'data_folder'", "a folder");
    }

    void readLogLevel(yaml_map_reader& reader, vm_settings& settings, finding_list& findings)
    {
        static const std::set<std::string> levels { "debug", "info", "warning", "error" };
        if (reader.readOptional("log_level", settings.logLevel) && !levels.contains(settings.logLevel))
            findings.add(reader.find("log_level")->position, absl::StrCat("'", settings.logLevel, "'"),
                "debug, info, warning or error");
    }

    void readCacheTime(yaml_map_reader& reader, vm_settings& settings, finding_list& findings)
    {
        if (!reader.readOptional("lookup_cache_time", settings.lookupCacheTime))
            return;
        if (settings.lookupCacheTime < minimumCacheTime || settings.lookupCacheTime > maximumCacheTime)
            findings.add(
                reader.find("lookup_cache_time")->position, "a 'lookup_cache_time' out of range", "100ms to 5min");
    }

    vm_settings readSettings(const yaml_node& root, finding_list& findings)
    {
        vm_settings settings;
        yaml_map_reader reader(root, findings);
        vm_id id;
        const bool named = reader.require("vm", id);
        if (const yaml_node* list = reader.find("vms"))
            readVms(*list, settings, findings);
        else
            findings.add(root.position, "no 'vms'", "the list of all VMs");
        if (named)
            selectSelf(*reader.find("vm"), id, settings, findings);
        readDataFolder(reader, root, settings, findings);
        reader.require("shared_key_file", settings.sharedKeyFile);
        if (const yaml_node* limits = reader.find("limits"))
            readLimits(*limits, settings.limits, findings);
        readLogLevel(reader, settings, findings);
        readCacheTime(reader, settings, findings);
        reader.finish();
        return settings;
    }

} // namespace

absl::StatusOr<vm_settings> parseSettings(const std::string& text, const std::string& fileName, finding_list& findings)
{
    finding_list found;
    const absl::StatusOr<yaml_node> root = parseYaml(text, fileName, found);
    vm_settings settings;
    if (root.ok())
        settings = readSettings(*root, found);
    findings.append(found);
    if (!found.empty())
        return found.toStatus();
    return settings;
}

} // namespace plantainlatch
