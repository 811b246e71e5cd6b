// Preloaded into the process of a host: while the file that FOXQUAY_CUT_FILE
// names exists, new connections to upstreams are refused or hang.
#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstdlib>
#include <fstream>
#include <string>

namespace {

using Connect = int (*)(int, const sockaddr*, socklen_t);

/// Network of the fake upstreams, 127.0.5.0/24.
constexpr in_addr_t kUpstreams = 0x7f000500;
constexpr in_addr_t kMask = 0xffffff00;

bool IsUpstream(const sockaddr* address) {
  if (address->sa_family != AF_INET) return false;
  const auto* ip = reinterpret_cast<const sockaddr_in*>(address);
  return (ntohl(ip->sin_addr.s_addr) & kMask) == kUpstreams;
}

}  // namespace

/// The file holds the port on 127.0.0.1 to which connections are redirected;
/// 0 to refuse them.
extern "C" int connect(int descriptor, const sockaddr* address,
                       socklen_t length) {
  static const auto kNext =
      reinterpret_cast<Connect>(dlsym(RTLD_NEXT, "connect"));
  const char* file = std::getenv("FOXQUAY_CUT_FILE");
  if (file == nullptr || !IsUpstream(address)) {
    return kNext(descriptor, address, length);
  }
  int port = 0;
  if (!(std::ifstream(file) >> port)) return kNext(descriptor, address, length);
  if (port == 0) {
    errno = ECONNREFUSED;
    return -1;
  }
  sockaddr_in redirected{};
  redirected.sin_family = AF_INET;
  redirected.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  redirected.sin_port = htons(static_cast<std::uint16_t>(port));
  return kNext(descriptor, reinterpret_cast<const sockaddr*>(&redirected),
               sizeof(redirected));
}
