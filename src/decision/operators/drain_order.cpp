#include "decision/operators/drain_order.h"

namespace plantainlatch {

namespace {

    using result_handler = std::function<void(absl::StatusOr<command_result>)>;

    void proposeOnce(
        const drain_order_parts& parts, set_drain order, const caller_check& senderWaits, const result_handler& done)
    {
        order.after = parts.control->state().drainOrders.last;
        if (!senderWaits()) {
            done(absl::UnavailableError("the sender of the order is gone"));
            return;
        }
        parts.consensus->propose(std::move(order), parts.timeout, done);
    }

    bool isOutdated(const absl::StatusOr<command_result>& result)
    {
        return result.ok() && result->verdict == command_verdict::Conflict;
    }

    void proposeOnceCaughtUp(const drain_order_parts& parts, const set_drain& order, const caller_check& senderWaits,
        const result_handler& done)
    {
        parts.consensus->readBarrier(parts.timeout, [parts, order, senderWaits, done](const absl::Status& status) {
            if (!status.ok()) {
                done(status);
                return;
            }
            proposeOnce(parts, order, senderWaits, [done](const absl::StatusOr<command_result>& result) {
                if (isOutdated(result))
                    done(absl::UnavailableError(result->message));
                else
                    done(result);
            });
        });
    }

} // namespace

void proposeDrain(
    const drain_order_parts& parts, const set_drain& order, const caller_check& senderWaits, const result_handler& done)
{
    proposeOnce(
        parts, order, senderWaits, [parts, order, senderWaits, done](const absl::StatusOr<command_result>& result) {
            if (isOutdated(result))
                proposeOnceCaughtUp(parts, order, senderWaits, done);
            else
                done(result);
        });
}

} // namespace plantainlatch
