#include "decision/request/request_fingerprint.h"

#include <xxhash.h>

namespace plantainlatch {

namespace {

    XXH64_hash_t hashField(const std::string& text, XXH64_hash_t seed)
    {
        return XXH3_64bits_withSeed(text.data(), text.size(), seed + text.size());
    }

} // namespace

request_fingerprint fingerprintOf(const caller_request& request)
{
    const XXH64_hash_t method = hashField(request.method, 0);
    const XXH64_hash_t target = hashField(request.target, method);
    return request_fingerprint(hashField(request.body.bytes(), target));
}

} // namespace plantainlatch
