#include "kernel/state_dump.h"

namespace plantainlatch {

namespace {

    state_dump& addScalar(state_dump& parent, std::string name, state_dump::scalar value)
    {
        state_dump child(std::move(name));
        child.value = std::move(value);
        parent.children.push_back(std::move(child));
        return parent;
    }

} // namespace

state_dump& state_dump::add(std::string childName, std::string text)
{
    return addScalar(*this, std::move(childName), std::move(text));
}

state_dump& state_dump::add(std::string childName, const char* text)
{
    return addScalar(*this, std::move(childName), std::string(text));
}

state_dump& state_dump::add(std::string childName, bool flag) { return addScalar(*this, std::move(childName), flag); }

state_dump& state_dump::add(std::string childName, std::int64_t number)
{
    return addScalar(*this, std::move(childName), number);
}

state_dump& state_dump::add(std::string childName, std::uint64_t number)
{
    return addScalar(*this, std::move(childName), static_cast<std::int64_t>(number));
}

state_dump& state_dump::add(std::string childName, int number)
{
    return addScalar(*this, std::move(childName), static_cast<std::int64_t>(number));
}

state_dump& state_dump::add(std::string childName, double number)
{
    return addScalar(*this, std::move(childName), number);
}

state_dump& state_dump::add(std::string childName, duration span)
{
    const double milliseconds = std::chrono::duration<double, std::milli>(span).count();
    return addScalar(*this, childName + "_ms", milliseconds);
}

state_dump& state_dump::addObject(std::string childName)
{
    children.emplace_back(std::move(childName));
    return children.back();
}

state_dump& state_dump::addList(std::string childName)
{
    children.emplace_back(std::move(childName));
    children.back().isList = true;
    return children.back();
}

} // namespace plantainlatch
