#include "foxquay/http/endpoint.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstring>

namespace foxquay::http {
namespace internal {

constexpr std::chrono::milliseconds kConnectTimeout{1000};
constexpr std::size_t kIpv4Bytes = 4;
constexpr std::size_t kIpv6Bytes = 16;
constexpr std::uint32_t kBitsPerByte = 8;

bool ParseNumber(const std::string& text, std::uint32_t max,
                 std::uint32_t& value) {
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  return error == std::errc() && stop == end && value <= max;
}

std::vector<std::uint8_t> AddressBytes(const sockaddr& address) {
  if (address.sa_family == AF_INET) {
    sockaddr_in v4{};
    std::memcpy(&v4, &address, sizeof(v4));
    const auto* bytes = reinterpret_cast<const std::uint8_t*>(&v4.sin_addr);
    return {bytes, bytes + kIpv4Bytes};
  }
  if (address.sa_family != AF_INET6) return {};
  sockaddr_in6 v6{};
  std::memcpy(&v6, &address, sizeof(v6));
  const std::uint8_t* bytes = v6.sin6_addr.s6_addr;
  if (IN6_IS_ADDR_V4MAPPED(&v6.sin6_addr)) {
    return {bytes + kIpv6Bytes - kIpv4Bytes, bytes + kIpv6Bytes};
  }
  return {bytes, bytes + kIpv6Bytes};
}

bool AwaitConnected(int socket) {
  pollfd waiting{socket, POLLOUT, 0};
  if (poll(&waiting, 1, static_cast<int>(kConnectTimeout.count())) != 1) {
    return false;
  }
  int error = 0;
  socklen_t size = sizeof(error);
  return getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
         error == 0;
}

}  // namespace internal

core::Result<Endpoint> ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  std::uint32_t port = 0;
  if (colon == std::string::npos ||
      !internal::ParseNumber(text.substr(colon + 1), UINT16_MAX, port)) {
    return make_error_code(core::Error::kMalformed);
  }
  std::string host = text.substr(0, colon);
  Endpoint endpoint;
  endpoint.port = static_cast<std::uint16_t>(port);
  sockaddr_in v4{};
  if (inet_pton(AF_INET, host.c_str(), &v4.sin_addr) == 1) {
    v4.sin_family = AF_INET;
    v4.sin_port = htons(endpoint.port);
    std::memcpy(&endpoint.storage, &v4, sizeof(v4));
    endpoint.size = sizeof(v4);
    return endpoint;
  }
  if (host.size() < 2 || host.front() != '[' || host.back() != ']') {
    return make_error_code(core::Error::kMalformed);
  }
  host = host.substr(1, host.size() - 2);
  sockaddr_in6 v6{};
  if (inet_pton(AF_INET6, host.c_str(), &v6.sin6_addr) != 1) {
    return make_error_code(core::Error::kMalformed);
  }
  v6.sin6_family = AF_INET6;
  v6.sin6_port = htons(endpoint.port);
  std::memcpy(&endpoint.storage, &v6, sizeof(v6));
  endpoint.size = sizeof(v6);
  return endpoint;
}

core::Result<Network> ParseNetwork(const std::string& text) {
  const std::size_t slash = text.find('/');
  if (slash == std::string::npos) {
    return make_error_code(core::Error::kMalformed);
  }
  const std::string address = text.substr(0, slash);
  Network network;
  network.bytes.resize(internal::kIpv6Bytes);
  if (inet_pton(AF_INET, address.c_str(), network.bytes.data()) == 1) {
    network.bytes.resize(internal::kIpv4Bytes);
  } else if (inet_pton(AF_INET6, address.c_str(), network.bytes.data()) != 1) {
    return make_error_code(core::Error::kMalformed);
  }
  const auto bits =
      static_cast<std::uint32_t>(network.bytes.size() * internal::kBitsPerByte);
  if (!internal::ParseNumber(text.substr(slash + 1), bits, network.prefix)) {
    return make_error_code(core::Error::kMalformed);
  }
  return network;
}

bool Contains(const Network& network, const sockaddr& address) {
  const std::vector<std::uint8_t> bytes = internal::AddressBytes(address);
  if (bytes.size() != network.bytes.size()) return false;
  std::uint32_t remaining_bits = network.prefix;
  for (std::size_t index = 0; index < bytes.size() && remaining_bits > 0;
       ++index) {
    const std::uint32_t bits = std::min(remaining_bits, internal::kBitsPerByte);
    const auto mask = static_cast<std::uint8_t>(
        0xFF00U >> bits);  // the first `bits` bits are set
    if (((bytes[index] ^ network.bytes[index]) & mask) != 0) return false;
    remaining_bits -= bits;
  }
  return true;
}

bool Reachable(const std::string& address) {
  const core::Result<Endpoint> endpoint = ParseEndpoint(address);
  if (!endpoint) return false;
  const sockaddr_storage& storage = endpoint.value().storage;
  const int descriptor =
      socket(storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) return false;
  const bool connected =
      connect(descriptor, reinterpret_cast<const sockaddr*>(&storage),
              endpoint.value().size) == 0 ||
      (errno == EINPROGRESS && internal::AwaitConnected(descriptor));
  close(descriptor);
  return connected;
}

}  // namespace foxquay::http
