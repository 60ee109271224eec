#include "decision/control/proposer_table.h"

#include <algorithm>

#include "core/internal_assert.h"

namespace plantainlatch {

namespace {

    command_result refusal(const char* message) { return { command_verdict::Refused, message, {}, {} }; }

    bool isFormerStart(const proposer_record& record, incarnation start)
    {
        const auto& starts = record.formerStarts;
        return std::find(starts.begin(), starts.end(), start) != starts.end();
    }

    /** Copies the answer from the key table into the result of a claim that found Completed. Cached results do not
     * contain the answers, to avoid storing them twice. */
    void restoreAnswer(const control_snapshot& state, const proposal& item, command_result& result)
    {
        const claim_key* claim = std::get_if<claim_key>(&item.command);
        if (claim == nullptr || result.claim != claim_result::Completed)
            return;
        const auto key = state.keys.find({ claim->service, claim->key });
        if (key != state.keys.end())
            result.answer = key->second.answer;
    }

    void beginIncarnation(proposer_record& record, incarnation start)
    {
        if (record.start != incarnation())
            record.formerStarts.push_back(record.start);
        if (record.formerStarts.size() > maximumFormerStarts)
            record.formerStarts.erase(record.formerStarts.begin());
        record.start = start;
        record.results.clear();
    }

} // namespace

std::optional<command_result> findCachedResult(const control_snapshot& state, const proposal& item)
{
    const auto found = state.proposers.find(item.id.vm);
    if (found == state.proposers.end())
        return {};
    const proposer_record& record = found->second;
    if (record.start != item.id.start) {
        if (isFormerStart(record, item.id.start))
            return refusal("the proposal is of an earlier start of its VM");
        return {};
    }
    const auto result = record.results.find(item.id.sequence);
    if (result != record.results.end()) {
        command_result cached = result->second;
        restoreAnswer(state, item, cached);
        return cached;
    }
    const bool isFull = record.results.size() >= maximumResultsPerProposer;
    if (isFull && item.id.sequence < record.results.begin()->first)
        return refusal("the proposal is older than the results that are kept");
    return {};
}

void cacheResult(std::map<vm_id, proposer_record>& proposers, const proposal_id& id, const command_result& result)
{
    proposer_record& record = proposers[id.vm];
    if (record.start != id.start)
        beginIncarnation(record, id.start);
    command_result cached = result;
    cached.answer.reset();
    record.results[id.sequence] = std::move(cached);
    if (record.results.size() > maximumResultsPerProposer)
        record.results.erase(record.results.begin());
    internal_assert(record.results.size() <= maximumResultsPerProposer) << id.vm.value();
}

} // namespace plantainlatch
