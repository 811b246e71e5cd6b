#ifndef FOXQUAY_HTTP_ENDPOINT_H_
#define FOXQUAY_HTTP_ENDPOINT_H_

#include <sys/socket.h>

#include <cstdint>
#include <string>
#include <vector>

#include "foxquay/core/error.h"

namespace foxquay::http {

/// Socket address of an `IP:PORT` text.
struct Endpoint {
  sockaddr_storage storage{};
  socklen_t size = 0;
  std::uint16_t port = 0;
};

/// Reads `IP:PORT`, with brackets around an IPv6 address.
[[nodiscard]] core::Result<Endpoint> ParseEndpoint(const std::string& text);

/// Range of addresses such as 10.0.0.0/8.
struct Network {
  std::vector<std::uint8_t> bytes;  ///< 4 or 16 bytes.
  std::uint32_t prefix = 0;         ///< Leading bits that must match.
};

/// Reads `ADDRESS/PREFIX`.
[[nodiscard]] core::Result<Network> ParseNetwork(const std::string& text);

/// Returns whether an address lies in a network. An IPv4 address mapped into
/// IPv6 counts as IPv4.
[[nodiscard]] bool Contains(const Network& network, const sockaddr& address);

/// Returns whether a TCP connection can be opened within a second.
///
/// A failed attempt proves that nothing was sent.
[[nodiscard]] bool Reachable(const std::string& address);

}  // namespace foxquay::http

#endif  // FOXQUAY_HTTP_ENDPOINT_H_
