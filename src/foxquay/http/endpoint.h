#ifndef FOXQUAY_HTTP_ENDPOINT_H_
#define FOXQUAY_HTTP_ENDPOINT_H_

#include <sys/socket.h>

#include <cstdint>
#include <string>
#include <vector>

#include "foxquay/core/error.h"

namespace foxquay::http {

/// Socket address parsed from `IP:PORT`.
struct Endpoint {
  sockaddr_storage storage{};
  socklen_t size = 0;  ///< Bytes of `storage` in use.
  std::uint16_t port = 0;
};

/// Parses `IP:PORT`, with brackets around an IPv6 address. Thread-safe.
///
/// Errors: kMalformed.
[[nodiscard]] core::Result<Endpoint> ParseEndpoint(const std::string& text);

/// Range of addresses in CIDR notation, such as 10.0.0.0/8.
struct Network {
  std::vector<std::uint8_t> bytes;  ///< 4 bytes for IPv4, 16 for IPv6.
  std::uint32_t prefix = 0;         ///< Leading bits that must match.
};

/// Parses `ADDRESS/PREFIX`. Thread-safe.
///
/// Errors: kMalformed.
[[nodiscard]] core::Result<Network> ParseNetwork(const std::string& text);

/// Returns whether a network contains an address. An IPv4-mapped IPv6 address
/// counts as IPv4. Thread-safe.
[[nodiscard]] bool Contains(const Network& network, const sockaddr& address);

/// Returns whether a TCP connection to an `IP:PORT` can be opened within one
/// second. Opens and closes a connection without sending data. Thread-safe.
[[nodiscard]] bool Reachable(const std::string& address);

}  // namespace foxquay::http

#endif  // FOXQUAY_HTTP_ENDPOINT_H_
