#include "fake_operators.h"

#include "decision/operators/drain_order.h"

namespace plantainlatch {

namespace {

    using namespace std::chrono_literals;

    constexpr duration proposalTimeout = 4s;
    constexpr duration maximumReadDelay = 8s;

    bool isAccepted(const absl::StatusOr<command_result>& result)
    {
        return result.ok()
            && (result->verdict == command_verdict::Accepted || result->verdict == command_verdict::AlreadyAccepted);
    }

} // namespace

void fake_operators::accept(const declaration& content)
{
    const auto [item, isNew] = m_accepted.emplace(content.number, content);
    if (!isNew && !(item->second == content))
        m_journal.reportViolation(
            "two different declarations were accepted under number " + std::to_string(content.number.value()));
}

void fake_operators::declareFirst(const declaration& first)
{
    const operated_vm vm = pickVm();
    if (vm.log != nullptr) {
        vm.log->propose(apply_declaration { first }, proposalTimeout, [this, first](const auto& result) {
            if (result.ok() && result->verdict == command_verdict::Refused)
                m_journal.reportViolation("the first declaration was refused: " + result->message);
            if (isAccepted(result))
                accept(first);
        });
    }
    m_runtime.schedule(proposalTimeout + 1s, [this, first] {
        if (!isDeclared())
            declareFirst(first);
    });
}

void fake_operators::start()
{
    m_active = true;
    act();
}

void fake_operators::act()
{
    if (!m_active)
        return;
    if (isDeclared() && m_runtime.random() % 3 == 0)
        drainUpstream();
    else if (isDeclared())
        proposeCompeting();
    m_runtime.schedule(500ms + duration(m_runtime.random() % duration(4s).count()), [this] { act(); });
}

declaration fake_operators::nextDeclaration(const control_snapshot& state)
{
    declaration content;
    content.replaces = state.config.number;
    content.number = content.replaces.next();
    content.note = "note " + std::to_string(++m_lastNote);
    // Starts the shift, or withdraws it if it exists; the runner checks that its cap is kept.
    shift_definition shift { shift_id("move"), service_id("booking"), failure_domain_id("a1"), failure_domain_id("b1"),
        50, 5, 25, 1s };
    const bool exists = state.config.shifts.contains(shift.id);
    (exists ? content.shifts.withdrawn : content.shifts.added).push_back({ shift, {} });
    return content;
}

void fake_operators::proposeCompeting()
{
    const int proposals = m_runtime.random() % 2 == 0 ? 2 : 1;
    for (int i = 0; i < proposals; ++i) {
        const operated_vm vm = pickVm();
        if (vm.log != nullptr)
            apply(nextDeclaration(vm.control->state()), 2);
    }
}

void fake_operators::apply(const declaration& content, int resends)
{
    const operated_vm vm = pickVm();
    if (vm.log == nullptr)
        return;
    m_journal.note("operator declares " + std::to_string(content.number.value()) + ", " + content.note);
    vm.log->propose(apply_declaration { content }, proposalTimeout, [this, content, resends](const auto& result) {
        if (isAccepted(result))
            accept(content);
        // The answer may have been lost. Resending an accepted declaration must have no effect.
        if (resends > 0 && (!result.ok() || m_runtime.random() % 4 == 0))
            m_runtime.schedule(1ms, [this, content, resends] { apply(content, resends - 1); });
    });
}

void fake_operators::drainUpstream()
{
    const upstream_id id = m_upstreams.idOf(m_runtime.random() % m_upstreams.size());
    setDrain(id, !m_drains[id]);
}

void fake_operators::setDrain(const upstream_id& id, bool draining)
{
    const operated_vm vm = pickVm();
    if (vm.log == nullptr)
        return;
    if (!draining)
        m_upstreams.noteDrain(id, false);
    m_drains[id] = draining;
    m_journal.note(std::string(draining ? "drain of " : "end of the drain of ") + id.value());
    const std::uint64_t order = ++m_drainOrders[id];
    const auto senderWaits = [this, id, order] { return m_drainOrders[id] == order; };
    // A VM that was suspended reads an order when it wakes, perhaps after the operator has given later ones elsewhere.
    const bool isReadLate = m_runtime.random() % 3 == 0;
    const duration readAfter(isReadLate ? m_runtime.random() % duration(maximumReadDelay).count() : 0);
    m_runtime.schedule(readAfter, [this, vm, id, draining, senderWaits] {
        if (vm.life.expired())
            return;
        proposeDrain({ vm.log, vm.control, proposalTimeout }, { { drain_kind::Upstream, id.value() }, draining, {} },
            senderWaits, [this, id, draining, senderWaits](const auto& result) {
                if (isAccepted(result) && draining && senderWaits())
                    m_upstreams.noteDrain(id, true);
            });
    });
}

void fake_operators::endDrains()
{
    for (const auto& [id, draining] : m_drains)
        setDrain(id, false);
}

void fake_operators::probe(std::function<void(bool accepted)> done)
{
    const operated_vm vm = pickVm();
    if (vm.log == nullptr) {
        done(false);
        return;
    }
    const declaration content = nextDeclaration(vm.control->state());
    vm.log->propose(apply_declaration { content }, proposalTimeout, [this, content, done](const auto& result) {
        if (isAccepted(result))
            accept(content);
        done(isAccepted(result));
    });
}

void fake_operators::check(const vm_id& vm, const std::vector<history_record>& history)
{
    for (const history_record& record : history) {
        const auto accepted = m_accepted.emplace(record.content.number, record.content).first;
        if (!(accepted->second == record.content))
            m_journal.reportViolation(vm.value() + " has a different declaration under number "
                + std::to_string(record.content.number.value()));
    }
}

} // namespace plantainlatch
