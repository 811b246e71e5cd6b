#ifndef FOXQUAY_TESTS_PLATFORM_SOAK_INVARIANT_CHECKER_H_
#define FOXQUAY_TESTS_PLATFORM_SOAK_INVARIANT_CHECKER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "foxquay/core/time.h"
#include "foxquay/net/message.h"

namespace foxquay::platform::soak {

enum class RequestKind : std::uint8_t {
  kRead,    ///< May be repeated.
  kBook,    ///< Runs once at most.
  kStream,  ///< May be resumed.
};
inline constexpr std::size_t kRequestKinds = 3;

/// Time that hosts have to be in touch again, from the site files.
inline constexpr core::Duration kReconnectBound = std::chrono::seconds(4);

/// Events of a stream.
inline constexpr unsigned kStreamEvents = 24;

/// Key that every configuration holds.
inline constexpr const char* kPermanentKey = "fixed";

/// Returns the whole answer to a plain request.
[[nodiscard]] std::string MakeAnswer(const std::string& request);
/// Returns one event of the stream that answers a request.
[[nodiscard]] std::string MakeEvent(const std::string& request, unsigned event);

/// What callers sent, what upstreams ran and what callers got; finds broken
/// promises. Not thread-safe.
class InvariantChecker {
 public:
  struct RequestRecord {
    RequestKind kind = RequestKind::kRead;
    std::string target;
    std::string body;
    std::string workspace;
    std::string key;
    core::Instant sent_at;
    unsigned executions = 0;
    std::optional<unsigned> status;  ///< Of a complete answer.
    std::string got;
  };

  void RecordSent(const std::string& request, RequestRecord record);
  /// Takes a request that an upstream of `service` begins to work on.
  void RecordExecution(const std::string& service, const net::Request& request);
  /// Takes a complete answer.
  void RecordAnswer(const std::string& request, unsigned status,
                    const std::string& body, bool stamped);
  /// Notes that no request sent later than `bound` may run with a key.
  void RecordRevoked(const std::string& key, core::Instant bound);
  /// Notes that a fault strikes, or ends, after which promises with a bound in
  /// time hold only once `kReconnectBound` is over.
  void RecordFault(core::Instant now) { last_fault_ = now; }
  [[nodiscard]] bool Settled(core::Instant now) const {
    return now - last_fault_ > kReconnectBound;
  }
  void ReportViolation(const std::string& invariant, const std::string& detail);

  [[nodiscard]] const std::vector<std::string>& violations() const {
    return violations_;
  }
  [[nodiscard]] unsigned sent(RequestKind kind) const {
    return sent_.at(Index(kind));
  }
  [[nodiscard]] unsigned served(RequestKind kind) const {
    return served_.at(Index(kind));
  }

 private:
  static std::size_t Index(RequestKind kind) {
    return static_cast<std::size_t>(kind);
  }
  void CheckRefusal(const std::string& request, const RequestRecord& record);

  std::map<std::string, RequestRecord> requests_;
  std::map<std::string, core::Instant> revoked_;
  std::vector<unsigned> sent_ = std::vector<unsigned>(kRequestKinds);
  std::vector<unsigned> served_ = std::vector<unsigned>(kRequestKinds);
  std::vector<std::string> violations_;
  core::Instant last_fault_;
};

}  // namespace foxquay::platform::soak

#endif  // FOXQUAY_TESTS_PLATFORM_SOAK_INVARIANT_CHECKER_H_
