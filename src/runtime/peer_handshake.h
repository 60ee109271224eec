#pragma once

/** \file
 * Mutual authentication of two VMs by a shared key, and the seal of each frame that follows.
 *
 * The connecting side sends a hello with a nonce, the accepting side answers with its own nonce and a proof, and the
 * connecting side proves itself in turn. Both proofs are HMAC-SHA256 over the role, both names and both nonces, so that
 * a recorded handshake proves nothing later. Each later frame carries a truncated HMAC under a key of the session, over
 * its position and payload, so that a frame can be neither changed, moved, repeated nor taken from another session.
 */

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "core/ids.h"

namespace plantainlatch {

/** The key that all VMs of a system share. */
class shared_key {
public:
    static constexpr std::size_t smallestBytes = 32;

    /** InvalidArgument for fewer than smallestBytes bytes. */
    static absl::StatusOr<shared_key> create(std::string bytes);
    /** Reads a file whose content, less white space at the end, is the key. */
    /** The same key for everyone, for a network in which every sender is trusted. */
    static shared_key ofTrustedNetwork();
    static absl::StatusOr<shared_key> readFile(const std::string& path);

    const std::string& bytes() const { return m_bytes; }

private:
    explicit shared_key(std::string bytes);
    std::string m_bytes;
};

/** Random bytes that make a handshake unique. */
std::string randomNonce();

struct peer_hello {
    std::uint32_t version = 0;
    vm_id from;
    vm_id to;
    std::string nonce;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.version, self.from, self.to, self.nonce);
    }
};

struct peer_challenge {
    std::string nonce;
    std::string proof;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.nonce, self.proof);
    }
};

struct peer_proof {
    std::string proof;

    template <typename Self, typename Visitor> static void visitFields(Self& self, Visitor&& visit)
    {
        visit(self.proof);
    }
};

enum class handshake_role {
    Connecting,
    Accepting,
};

/** What a side must send to prove that it has the key. */
std::string handshakeProof(
    const shared_key& key, handshake_role role, const peer_hello& hello, const std::string& acceptingNonce);

/** Compares in a time that does not depend on where the texts differ. */
bool equalInConstantTime(std::string_view left, std::string_view right);

/** Seals and opens the frames of one direction of one session. */
class frame_seal {
public:
    frame_seal(
        const shared_key& key, handshake_role sender, const peer_hello& hello, const std::string& acceptingNonce);

    /** The seal followed by the payload. */
    std::string seal(std::string_view payload);
    /** The payload of the next sealed frame; Unauthenticated when it is not the next one of this session. */
    absl::StatusOr<std::string> open(std::string_view sealed);

private:
    std::string nextSeal(std::string_view payload) const;

    std::string m_key;
    std::uint64_t m_position = 0;
};

} // namespace plantainlatch
