#include "kernel/registry.h"

#include "absl/strings/str_cat.h"

namespace plantainlatch {

void registry::unpublish(std::string_view name)
{
    const auto position = m_published.find(name);
    if (position != m_published.end())
        m_published.erase(position);
}

absl::Status registry::publishErased(std::string name, std::type_index type, void* object)
{
    const auto [position, inserted] = m_published.try_emplace(name, published { type, object });
    if (!inserted)
        return absl::AlreadyExistsError(absl::StrCat("an interface named '", name, "' is already published"));
    return absl::OkStatus();
}

absl::StatusOr<void*> registry::findErased(std::string_view name, std::type_index type) const
{
    const auto position = m_published.find(name);
    if (position == m_published.end())
        return absl::NotFoundError(absl::StrCat("no interface named '", std::string(name), "' is published"));
    if (position->second.type != type)
        return absl::FailedPreconditionError(
            absl::StrCat("the interface named '", std::string(name), "' has another type"));
    return position->second.object;
}

} // namespace plantainlatch
