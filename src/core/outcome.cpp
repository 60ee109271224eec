#include "core/outcome.h"

#include "core/internal_assert.h"

namespace plantainlatch {

std::string_view outcomeName(outcome value)
{
    switch (value) {
    case outcome::NotRun:
        return "not-run";
    case outcome::Unknown:
        return "unknown";
    case outcome::InProgress:
        return "in-progress";
    case outcome::Replayed:
        return "replayed";
    case outcome::Completed:
        return "completed";
    }
    internal_assert(false) << "outcome " << static_cast<int>(value);
    return "unknown";
}

} // namespace plantainlatch
