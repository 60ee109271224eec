#pragma once

/** \file
 * The registry through which services find each other's interfaces by name.
 */

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <typeindex>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace plantainlatch {

/** Maps names to typed interfaces, which it does not own. */
class registry {
public:
    /** Publishes an interface under a name; AlreadyExists when the name is taken. The object must live until the kernel
     * has stopped. */
    template <typename Interface> absl::Status publish(std::string name, Interface& object)
    {
        return publishErased(std::move(name), typeid(Interface), &object);
    }

    /** The interface of that name; NotFound if there is none, FailedPrecondition if it has another type. */
    template <typename Interface> absl::StatusOr<Interface*> find(std::string_view name) const
    {
        absl::StatusOr<void*> object = findErased(name, typeid(Interface));
        if (!object.ok())
            return object.status();
        return static_cast<Interface*>(*object);
    }

    /** Sets `target` to the interface of that name, or returns the error of find(). */
    template <typename Interface> absl::Status findInto(std::string_view name, Interface*& target) const
    {
        absl::StatusOr<Interface*> found = find<Interface>(name);
        if (found.ok())
            target = *found;
        return found.status();
    }

    /** Removes a name; has no effect if it is not published. */
    void unpublish(std::string_view name);

private:
    struct published {
        std::type_index type;
        void* object;
    };

    absl::Status publishErased(std::string name, std::type_index type, void* object);
    absl::StatusOr<void*> findErased(std::string_view name, std::type_index type) const;

    std::map<std::string, published, std::less<>> m_published;
};

} // namespace plantainlatch
