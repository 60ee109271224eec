#pragma once

/** \file
 * Mutual authentication of two VMs by a shared key, and a message authentication code (MAC) for each later frame.
 *
 * It is a challenge-response handshake: the connecting side sends a hello with a nonce, the accepting side answers with
 * its own nonce and a proof, and the connecting side answers with its proof. Both proofs are HMAC-SHA256 under the
 * shared key over the role, the protocol version, both names and both nonces, so that a recorded handshake can't be
 * replayed. A session key for each direction is derived from the same values. Each later frame carries an HMAC-SHA256
 * under that key, truncated to 16 bytes, over its sequence number and payload, so that frames that were changed,
 * reordered, replayed or taken from another session are rejected. Frames are authenticated, but not encrypted.
 */

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "core/ids.h"

namespace plantainlatch {

/** The secret key that all VMs of a system share. */
class shared_key {
public:
    static constexpr std::size_t minimumBytes = 32;

    /** InvalidArgument for fewer than minimumBytes bytes. */
    static absl::StatusOr<shared_key> create(std::string bytes);
    /** A fixed key that is not secret, for a network in which every sender is trusted. */
    static shared_key forTrustedNetwork();
    /** Reads the key from a file, without white space at its end. NotFound if the file can't be read, otherwise like
     * create(). */
    static absl::StatusOr<shared_key> readFile(const std::string& path);

    const std::string& bytes() const { return m_bytes; }

private:
    explicit shared_key(std::string bytes);
    std::string m_bytes;
};

/** 32 cryptographically random bytes. */
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

/** The proof that the side in `role` has the key. */
std::string handshakeProof(
    const shared_key& key, handshake_role role, const peer_hello& hello, const std::string& acceptingNonce);

/** Compares in a time that does not depend on the content, so that a MAC can't be guessed byte by byte from response
 * times. */
bool equalInConstantTime(std::string_view left, std::string_view right);

/** Adds and verifies the MACs of the frames in one direction of a session. Each end of the
 * connection has its own object, which counts the frames. */
class frame_authenticator {
public:
    frame_authenticator(
        const shared_key& key, handshake_role sender, const peer_hello& hello, const std::string& acceptingNonce);

    /** The MAC of the next frame, followed by the payload. */
    std::string seal(std::string_view payload);
    /** The payload of a received frame; Unauthenticated if it is not the next one of this session. */
    absl::StatusOr<std::string> open(std::string_view sealed);

private:
    std::string nextMac(std::string_view payload) const;

    std::string m_key;
    std::uint64_t m_sequence = 0;
};

} // namespace plantainlatch
