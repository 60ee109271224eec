#include "services/body_output.h"

#include <memory>
#include <string_view>

#include <event2/buffer.h>

#include "core/internal_assert.h"

namespace plantainlatch {

void addBody(evbuffer* output, const shared_body& body, std::size_t from)
{
    if (from >= body.size())
        return;
    auto holder = std::make_unique<shared_body>(body);
    const std::string_view bytes = std::string_view(holder->bytes()).substr(from);
    const auto release = [](const void*, std::size_t, void* held) { delete static_cast<shared_body*>(held); };
    const int failed = evbuffer_add_reference(output, bytes.data(), bytes.size(), release, holder.get());
    internal_assert(failed == 0) << "no memory for a body";
    // From here on, the buffer owns the holder.
    static_cast<void>(holder.release());
}

} // namespace plantainlatch
