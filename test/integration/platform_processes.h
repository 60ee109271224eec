#pragma once

/** \file
 * Processes of `plantainlatch platform` on loopback addresses: control VMs, numbered from 1, and entries after them.
 */

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/units.h"
#include "integration/child_process.h"
#include "model/address.h"
#include "support/temporary_folder.h"

namespace plantainlatch {

/** What the settings of all processes of one system have in common. */
struct platform_layout {
    /** The first three numbers of the addresses, with a dot at the end. */
    std::string network;
    int controls = 3;
    int entries = 2;
    int replicasThatMayFail = 1;
    int renewalMilliseconds = 60'000;
    /** Failure domains with their regions; VMs are assigned to them in turn. */
    std::vector<std::pair<std::string, std::string>> places;
    /** The bounds of the settings, as a YAML map. */
    std::string bounds;
    /** The memory limit that the settings state; 0 for none. */
    int memoryMegabytes = 0;
    /** The limit on open descriptors of each process; 0 for that of the test. */
    std::size_t maximumDescriptors = 0;
};

/** Starts and holds the processes; its destructor kills them and removes their files. */
class platform_processes {
public:
    static constexpr std::uint16_t callerPort = 8144;
    static constexpr std::uint16_t readyPort = 8140;
    static constexpr std::uint16_t controlPort = 8146;
    static constexpr std::uint16_t lookupPort = 8143;
    static constexpr std::uint16_t inspectionPort = 7661;

    explicit platform_processes(platform_layout layout);
    ~platform_processes();
    platform_processes(const platform_processes&) = delete;
    platform_processes& operator=(const platform_processes&) = delete;

    int size() const { return m_layout.controls + m_layout.entries; }
    bool isControl(int number) const { return number <= m_layout.controls; }
    network_address address(int number, std::uint16_t port) const;
    child_process& at(int number) { return *m_processes.at(number); }
    /** Starts a process, instead of its former one if there is one. */
    void start(int number, bool bootstrapsLog);
    void startAll(bool bootstrapsLog);
    void killAll();
    /** The file to which a process logs. */
    std::string logFile(int number) const;
    /** The largest resident memory that a process has had so far; 0 if it has ended. */
    byte_count peakMemory(int number) const { return memoryFigure(number, "VmHWM:"); }
    /** The resident memory that a process has now; 0 if it has ended. */
    byte_count residentMemory(int number) const { return memoryFigure(number, "VmRSS:"); }
    std::size_t openDescriptors(int number) const;

private:
    std::string settingsOf(int number, bool bootstrapsLog) const;
    byte_count memoryFigure(int number, const std::string& name) const;

    platform_layout m_layout;
    temporary_folder m_folder;
    std::map<int, std::unique_ptr<child_process>> m_processes;
};

} // namespace plantainlatch
