#pragma once

/** \file
 * Operators that race each other with declarations under equal numbers, resend them, drain and shift.
 */

#include <functional>
#include <map>

#include "fake_upstreams.h"
#include "ports/consensus_port.h"

namespace plantainlatch {

/** The operators of a run. */
class fake_operators {
public:
    fake_operators(paused_runtime& runtime, run_journal& journal, fake_upstreams& upstreams)
        : m_runtime(runtime)
        , m_journal(journal)
        , m_upstreams(upstreams)
    {
    }

    /** The log of a VM that works now; null for none. */
    std::function<consensus_port*()> pickLog;
    /** The state of the same VM as the last pickLog(). */
    std::function<const control_snapshot&()> pickedState;

    /** Declares the regions, services and links until accepted. */
    void declareFirst(const declaration& first);
    bool isDeclared() const { return !m_accepted.empty(); }
    /** Acts at random until stop(). */
    void start();
    void stop() { m_active = false; }
    /** Ends all drains. */
    void endDrains();
    /** Declares something new and tells whether it was accepted. */
    void probe(std::function<void(bool accepted)> done);

    /** Holds a history against what was accepted: one content for each number. */
    void check(const vm_id& vm, const std::vector<history_record>& history);

private:
    void act();
    void raceDeclarations();
    declaration nextDeclaration();
    void apply(const declaration& content, int resends);
    void drainUpstream();
    void setDrain(const upstream_id& id, bool draining);
    void accept(const declaration& content);

    paused_runtime& m_runtime;
    run_journal& m_journal;
    fake_upstreams& m_upstreams;
    bool m_active = false;
    std::uint64_t m_lastNote = 0;
    std::map<change_number, declaration> m_accepted;
    std::map<upstream_id, bool> m_drains;
};

} // namespace plantainlatch
