#pragma once

/** \file
 * Simulated operators. They propose competing declarations under the same number, resend them, drain upstreams, and
 * start and withdraw shifts.
 */

#include <functional>
#include <map>
#include <memory>

#include "fake_upstreams.h"
#include "ports/consensus_port.h"
#include "ports/control_port.h"

namespace plantainlatch {

/** The ports of a VM; null when it does not serve. They are gone with the life of its process. */
struct operated_vm {
    consensus_port* log = nullptr;
    control_port* control = nullptr;
    std::weak_ptr<bool> life;
};

/** All operators of one run. */
class fake_operators {
public:
    fake_operators(paused_runtime& runtime, run_journal& journal, fake_upstreams& upstreams)
        : m_runtime(runtime)
        , m_journal(journal)
        , m_upstreams(upstreams)
    {
    }

    /** Chooses a VM. */
    std::function<operated_vm()> pickVm;

    /** Proposes `first`, and again after each time-out until it is accepted. */
    void declareFirst(const declaration& first);
    /** Whether a declaration was accepted. */
    bool isDeclared() const { return !m_accepted.empty(); }
    /** Proposes declarations and drains at random until stop(). */
    void start();
    void stop() { m_active = false; }
    /** Proposes the end of all drains. */
    void endDrains();
    /** Proposes one new declaration; `done` receives whether it was accepted. */
    void probe(std::function<void(bool accepted)> done);

    /** Checks a VM's history: all VMs must hold the same declaration under each number. */
    void check(const vm_id& vm, const std::vector<history_record>& history);

private:
    void act();
    void proposeCompeting();
    declaration nextDeclaration(const control_snapshot& state);
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
    /** The number of orders for each upstream; its operator waits for the answer to the last one only. */
    std::map<upstream_id, std::uint64_t> m_drainOrders;
};

} // namespace plantainlatch
