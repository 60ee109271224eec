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

request_fingerprint callerFingerprintOf(const caller_request& request, request_fingerprint content)
{
    const XXH64_hash_t account = hashField(request.account.value(), content.value());
    const XXH64_hash_t object = hashField(request.affinity, account);
    const std::uint64_t address = request.sentFrom.value();
    return request_fingerprint(XXH3_64bits_withSeed(&address, sizeof(address), object));
}

} // namespace plantainlatch
