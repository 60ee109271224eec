#include "runtime/peer_handshake.h"

#include <fstream>
#include <iterator>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "core/internal_assert.h"

namespace plantainlatch {

namespace {

    constexpr int nonceBytes = 32;
    constexpr std::size_t macBytes = 16;
    constexpr unsigned bitsPerByte = 8;

    std::string hmacSha256(const std::string& key, const std::string& text)
    {
        std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
        unsigned int size = 0;
        const auto* data = reinterpret_cast<const unsigned char*>(text.data());
        const unsigned char* done
            = HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), data, text.size(), digest.data(), &size);
        internal_assert(done != nullptr) << "HMAC-SHA256 failed";
        return std::string(reinterpret_cast<const char*>(digest.data()), size);
    }

    void appendPart(std::string& text, const std::string& part) { absl::StrAppend(&text, part.size(), ":", part, ";"); }

    std::string handshakeText(const char* purpose, const peer_hello& hello, const std::string& acceptingNonce)
    {
        std::string text;
        appendPart(text, purpose);
        appendPart(text, absl::StrCat(hello.version));
        appendPart(text, hello.from.value());
        appendPart(text, hello.to.value());
        appendPart(text, hello.nonce);
        appendPart(text, acceptingNonce);
        return text;
    }

    const char* proofPurpose(handshake_role role)
    {
        return role == handshake_role::Connecting ? "connecting proof" : "accepting proof";
    }

    const char* sealPurpose(handshake_role role)
    {
        return role == handshake_role::Connecting ? "connecting frames" : "accepting frames";
    }

} // namespace

shared_key::shared_key(std::string bytes)
    : m_bytes(std::move(bytes))
{
}

absl::StatusOr<shared_key> shared_key::create(std::string bytes)
{
    if (bytes.size() < minimumBytes)
        return absl::InvalidArgumentError(
            absl::StrCat("the shared key has ", bytes.size(), " bytes, expected ", minimumBytes, " or more"));
    return shared_key(std::move(bytes));
}

shared_key shared_key::forTrustedNetwork() { return shared_key(std::string(minimumBytes, '\0')); }

absl::StatusOr<shared_key> shared_key::readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return absl::NotFoundError(absl::StrCat("the shared key file ", path, " can't be read"));
    std::string bytes((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    absl::StripTrailingAsciiWhitespace(&bytes);
    return create(std::move(bytes));
}

std::string randomNonce()
{
    std::array<unsigned char, nonceBytes> bytes {};
    const int done = RAND_bytes(bytes.data(), nonceBytes);
    internal_assert(done == 1) << "no random bytes from the operating system";
    return std::string(reinterpret_cast<const char*>(bytes.data()), bytes.size());
}

std::string handshakeProof(
    const shared_key& key, handshake_role role, const peer_hello& hello, const std::string& acceptingNonce)
{
    return hmacSha256(key.bytes(), handshakeText(proofPurpose(role), hello, acceptingNonce));
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

frame_authenticator::frame_authenticator(
    const shared_key& key, handshake_role sender, const peer_hello& hello, const std::string& acceptingNonce)
    : m_key(hmacSha256(key.bytes(), handshakeText(sealPurpose(sender), hello, acceptingNonce)))
{
}

std::string frame_authenticator::nextMac(std::string_view payload) const
{
    std::string text;
    text.reserve(sizeof(m_sequence) + payload.size());
    for (std::size_t i = 0; i < sizeof(m_sequence); ++i)
        text += static_cast<char>((m_sequence >> (bitsPerByte * i)) & 0xffU);
    text.append(payload);
    return hmacSha256(m_key, text).substr(0, macBytes);
}

std::string frame_authenticator::seal(std::string_view payload)
{
    std::string sealed = nextMac(payload);
    sealed.append(payload);
    ++m_sequence;
    return sealed;
}

absl::StatusOr<std::string> frame_authenticator::open(std::string_view sealed)
{
    if (sealed.size() < macBytes)
        return absl::UnauthenticatedError("a frame is too short for its authentication code");
    const std::string_view payload = sealed.substr(macBytes);
    if (!equalInConstantTime(sealed.substr(0, macBytes), nextMac(payload)))
        return absl::UnauthenticatedError(
            "a frame's authentication code does not match this session and sequence number");
    ++m_sequence;
    return std::string(payload);
}

} // namespace plantainlatch
