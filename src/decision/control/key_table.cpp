#include "decision/control/key_table.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "core/internal_assert.h"

namespace plantainlatch {

namespace {

    using key_map = std::map<key_name, key_record>;

    /** How many records each claim checks for expiry. More than one, so that expired records are removed faster than
     * new ones are added. */
    constexpr std::size_t sweepLength = 8;
    /** How many records each claim checks when the table is full. */
    constexpr std::size_t fullSweepLength = 256;

    wall_time after(wall_time start, duration span)
    {
        return start + std::chrono::ceil<std::chrono::milliseconds>(span);
    }

    bool isExpired(const key_record& record, wall_time now) { return record.expiresAt <= now; }

    /** Checks `length` records from `start` on, wrapping around at the end, and removes the expired ones. */
    void sweepExpired(key_map& keys, const key_name& start, wall_time now, std::size_t length)
    {
        auto position = keys.lower_bound(start);
        const std::size_t checkCount = std::min(length, keys.size());
        for (std::size_t i = 0; i < checkCount && !keys.empty(); ++i) {
            if (position == keys.end())
                position = keys.begin();
            position = isExpired(position->second, now) ? keys.erase(position) : std::next(position);
        }
    }

    command_result refused(std::string message)
    {
        command_result result;
        result.verdict = command_verdict::Refused;
        result.message = std::move(message);
        return result;
    }

    command_result resultWith(claim_result finding)
    {
        command_result result;
        result.claim = finding;
        return result;
    }

    claim_result unsettledClaim(const key_record& record, wall_time now)
    {
        return now < record.runsUntil ? claim_result::InProgress : claim_result::Unknown;
    }

    command_result existingClaim(const key_record& record, const proposal& claimed, const claim_key& command)
    {
        if (record.claim == claimed.id)
            return resultWith(claim_result::Claimed);
        if (record.fingerprint != command.fingerprint)
            return resultWith(claim_result::Reused);
        switch (record.result) {
        case outcome::InProgress:
            return resultWith(unsettledClaim(record, claimed.proposedAt));
        case outcome::Unknown:
            return resultWith(claim_result::Unknown);
        case outcome::Completed: {
            command_result result = resultWith(claim_result::Completed);
            result.answer = record.answer;
            return result;
        }
        case outcome::NotRun:
        case outcome::Replayed:
            break;
        }
        internal_assert(false) << "key " << command.key.value() << " is stored with outcome "
                               << outcomeName(record.result);
        return resultWith(claim_result::Unknown);
    }

    key_record newRecord(const proposal& claimed, const claim_key& command)
    {
        key_record record;
        record.claim = claimed.id;
        record.fingerprint = command.fingerprint;
        record.runsUntil = after(claimed.proposedAt, command.runLimit);
        record.expiresAt = after(claimed.proposedAt, std::max(command.retention, command.runLimit));
        return record;
    }

    bool isSettlement(outcome result)
    {
        return result == outcome::NotRun || result == outcome::Unknown || result == outcome::Completed;
    }

    bool canReplace(outcome next, outcome current)
    {
        if (current == outcome::InProgress || current == next)
            return true;
        return current == outcome::Unknown && next == outcome::Completed;
    }

} // namespace

command_result applyClaim(std::map<key_name, key_record>& keys, const proposal& claimed, const claim_key& command,
    const key_table_limits& limits)
{
    const key_name name { command.service, command.key };
    sweepExpired(keys, name, claimed.proposedAt, keys.size() < limits.keys ? sweepLength : fullSweepLength);
    const auto existing = keys.find(name);
    if (existing != keys.end())
        return existingClaim(existing->second, claimed, command);
    if (keys.size() >= limits.keys) {
        command_result tableFull = refused(absl::StrCat("the table of idempotency keys is full at ", limits.keys));
        tableFull.claim = claim_result::TableFull;
        return tableFull;
    }
    keys.emplace(name, newRecord(claimed, command));
    return resultWith(claim_result::Claimed);
}

command_result applySettle(
    std::map<key_name, key_record>& keys, const proposal&, const settle_key& command, const key_table_limits& limits)
{
    if (!isSettlement(command.result))
        return refused(absl::StrCat("no settlement: ", std::string(outcomeName(command.result))));
    const auto position = keys.find({ command.service, command.key });
    if (position == keys.end() || position->second.claim != command.claim)
        return refused("the key is not held by that claim");
    key_record& record = position->second;
    if (!canReplace(command.result, record.result))
        return refused(absl::StrCat("the key is settled as ", std::string(outcomeName(record.result))));
    if (command.result == outcome::NotRun) {
        keys.erase(position);
        return {};
    }
    record.result = command.result;
    if (command.answer && answerSize(*command.answer) <= limits.keptAnswer)
        record.answer = command.answer;
    return {};
}

byte_count answerSize(const upstream_answer& answer)
{
    std::uint64_t size = answer.body.size();
    for (const header_field& field : answer.headers)
        size += field.name.size() + field.value.size();
    return byte_count(size);
}

} // namespace plantainlatch
