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

/// Bytes of the HMAC-SHA256 that ends each signed message.
inline constexpr std::size_t kMacBytes = 32;

/// Largest signed message, in bytes.
inline constexpr std::size_t kMaxSignedBytes = (std::size_t{1} << 20U) + 1024;

/// Adds the cluster and a keyed MAC to messages and checks them. Thread-safe.
class MessageAuthenticator {
 public:
  /// Precondition: `key` is not empty.
  MessageAuthenticator(std::string cluster, std::string key);

  /// Returns the envelope with its MAC.
  [[nodiscard]] std::string Sign(const core::HostId& sender,
                                 std::uint64_t incarnation,
                                 std::string payload) const;

  /// Checks size and MAC before decoding anything.
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
