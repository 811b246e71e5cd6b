#ifndef FOXQUAY_TRANSPORT_MESSAGE_AUTHENTICATOR_H_
#define FOXQUAY_TRANSPORT_MESSAGE_AUTHENTICATOR_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "foxquay/core/error.h"
#include "foxquay/core/id.h"
#include "foxquay/schema/transport.h"
#include "foxquay/transport/fwd.h"

namespace foxquay::transport {

/// Size of the HMAC-SHA256 at the end of each signed message, in bytes.
inline constexpr std::size_t kMacBytes = 32;

/// Largest signed message, in bytes: an envelope and its MAC.
inline constexpr std::size_t kMaxSignedBytes =
    schema::Envelope::kMaxPayload + 1024;

/// Wraps payloads in an envelope with a keyed MAC and verifies both.
///
/// Messages are authenticated, not encrypted. Thread-safe.
class MessageAuthenticator {
 public:
  /// Precondition: `key`, the secret that all hosts of the cluster share, is
  /// not empty.
  MessageAuthenticator(std::string cluster, std::string key);

  /// Returns the encoded envelope of a payload, followed by its MAC.
  ///
  /// Errors: kTooLarge if the payload does not fit an envelope.
  [[nodiscard]] core::Result<std::string> Sign(const core::HostId& sender,
                                               std::uint64_t incarnation,
                                               std::string payload) const;

  /// Returns the envelope of a signed message. Checks size and MAC before it
  /// decodes anything.
  ///
  /// Errors: kTooLarge, kMalformed, kUnauthorized (wrong MAC or cluster).
  [[nodiscard]] core::Result<schema::Envelope> Verify(
      const std::string& signed_message) const;

 private:
  [[nodiscard]] std::string Mac(const std::string& bytes) const;

  std::string cluster_;
  std::string key_;
};

}  // namespace foxquay::transport

#endif  // FOXQUAY_TRANSPORT_MESSAGE_AUTHENTICATOR_H_
