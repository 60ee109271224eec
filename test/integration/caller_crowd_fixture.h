#pragma once

/** \file
 * Crowds of clients that load one address of a process with lowered limits, and the checks that the process stays
 * within its bounds and serves ordinary callers.
 */

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "error/loop_fixture.h"
#include "error/raw_upstream.h"
#include "integration/platform_processes.h"

struct bufferevent;

namespace plantainlatch {

inline constexpr std::size_t kibibyte = 1024;
inline constexpr std::size_t mebibyte = 1024 * kibibyte;

/** The bytes that one client sends: a head, the same piece several times, and an end. */
struct client_load {
    std::string head;
    std::shared_ptr<const std::string> piece = std::make_shared<const std::string>();
    std::size_t pieces = 0;
    std::string end = {};
    /** Whether the client reads what it receives; one that doesn't leaves it to the operating system. */
    bool reads = true;
};

/** Sends a load, drops what it receives, and stays open. */
class crowd_client {
public:
    crowd_client(event_base* base, const network_address& address, client_load load);
    ~crowd_client();
    crowd_client(const crowd_client&) = delete;
    crowd_client& operator=(const crowd_client&) = delete;

    /** Changes whenever bytes were passed to the operating system. */
    std::size_t progress() const { return m_piecesSent; }

private:
    void sendNext();

    client_load m_load;
    bufferevent* m_handle;
    std::size_t m_piecesSent = 0;
    bool m_ended = false;
};

std::string headOf(const std::string& call, const std::string& framing);

/** A body with a stated length, of which the last byte is never sent. */
client_load bodyOneByteShort(const std::string& call, std::size_t size);

/** A body in chunks of that size without the last byte of the last chunk's end. */
client_load chunksOneByteShort(const std::string& call, std::size_t chunkSize, std::size_t chunks);

/** What the VMs and the upstream of a test can hold. */
struct crowd_limits {
    std::size_t descriptors = 256;
    /** The connections that the configuration allows to the upstream, and the slots that it announces. */
    int connections = 300;
    int slots = 4;
};

/** Three control VMs and one entry as processes with the memory limit of the smallest VM, one upstream in the test
 * process, and a crowd of clients that loads one address. */
class caller_crowd_fixture : protected loop_fixture {
protected:
    static constexpr int controlCount = 3;
    static constexpr int entry = 4;
    static constexpr std::uint16_t callerPort = platform_processes::callerPort;
    static constexpr std::uint16_t readyPort = platform_processes::readyPort;
    static constexpr std::uint16_t controlPort = platform_processes::controlPort;
    static constexpr std::uint16_t lookupPort = platform_processes::lookupPort;
    static constexpr std::uint16_t inspectionPort = platform_processes::inspectionPort;
    /** The smallest VM of an entry. */
    static constexpr int memoryMegabytes = 112;
    static constexpr byte_count memoryBound { memoryMegabytes * 1'000'000ULL };

    explicit caller_crowd_fixture(crowd_limits limits = {});

    /** Returns the status of the answer, or 0 if none arrives within 5 s. */
    int statusOf(int number, std::uint16_t port, const std::string& call, const std::string& body = {});

    /** As statusOf(), and repeats the request while it is refused for the moment, as a caller does. */
    int statusWithRetries(int number, std::uint16_t port, const std::string& call, const std::string& body = {});

    bool sendHeartbeat();
    bool eventually(const std::function<bool()>& condition);

    void addClients(int number, std::uint16_t port, std::size_t clients, const client_load& each);

    /** Adds clients and runs until none of them could send anything for a while. */
    void load(int number, std::uint16_t port, std::size_t clients, const client_load& each);

    /** Checks that a process lives and has stayed within its bounds. */
    void checkBounds(int number);

    /** The bounds of the entry; a caller that sends one request while the crowd is still connected is answered. */
    void checkEntry();

    /** Sends an answer with that body to a request that the upstream has received. */
    void answer(std::size_t connection, const std::string& request, const std::string& body);

    crowd_limits crowdLimits;
    /** Leaves an eighth of the limit for connections to other VMs and upstreams, and for files. */
    std::size_t descriptorBound;
    const std::string configuration;
    raw_upstream upstream { loop->base() };
    platform_processes vms;
    std::vector<std::unique_ptr<crowd_client>> crowd;
    std::size_t mostDescriptors = 0;
    /** What a process without load uses beyond an ordinary build; 0 in an ordinary build. */
    std::map<int, std::size_t> sanitizerMemory;
    int lastId = 0;
    std::string lastAnswer;
};

} // namespace plantainlatch
