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
  kRead,    ///< Safe route: may be executed more than once.
  kBook,    ///< Unsafe route: may be executed at most once.
  kStream,  ///< Streaming route: may be resumed after its last event.
};
inline constexpr std::size_t kRequestKinds = 3;

/// Time after a fault within which hosts must have reached each other again,
/// from the site files.
inline constexpr core::Duration kReconnectBound = std::chrono::seconds(4);

/// Number of events in a complete stream.
inline constexpr unsigned kStreamEvents = 24;

/// API key that every configuration contains.
inline constexpr const char* kPermanentKey = "fixed";

/// Returns the complete body that answers a plain request; derived from the
/// request id alone, so that the answer can be checked.
[[nodiscard]] std::string MakeAnswer(const std::string& request);
/// Returns one event of the stream that answers a request, counted from 1.
[[nodiscard]] std::string MakeEvent(const std::string& request, unsigned event);

/// Records what callers sent, what upstreams executed and what callers
/// received, and collects violations of the invariants. Not thread-safe.
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
    std::optional<unsigned> status;  ///< Of the complete answer, if any came.
    std::string got;
  };

  /// Records a request under its id, before it is sent.
  void RecordSent(const std::string& request, RequestRecord record);
  /// Records that an upstream of `service` starts to execute a request.
  void RecordExecution(const std::string& service, const net::Request& request);
  /// Records a complete answer; `stamped` tells whether it carries the header
  /// X-Response-Stamp.
  void RecordAnswer(const std::string& request, unsigned status,
                    const std::string& body, bool stamped);
  /// Records that a request sent after `bound` may not be executed with `key`.
  void RecordRevoked(const std::string& key, core::Instant bound);
  /// Records that a fault begins or ends. Invariants with a bound in time hold
  /// again only when `kReconnectBound` has passed since.
  void RecordFault(core::Instant now) { last_fault_ = now; }
  /// Returns whether `kReconnectBound` has passed since the last fault.
  [[nodiscard]] bool Settled(core::Instant now) const {
    return now - last_fault_ > kReconnectBound;
  }
  /// Adds a violation of `invariant`; `detail` names the request or the values.
  void ReportViolation(const std::string& invariant, const std::string& detail);

  [[nodiscard]] const std::vector<std::string>& violations() const {
    return violations_;
  }
  /// Returns the number of requests sent.
  [[nodiscard]] unsigned sent(RequestKind kind) const {
    return sent_.at(Index(kind));
  }
  /// Returns the number of requests with a correct 200 answer.
  [[nodiscard]] unsigned served(RequestKind kind) const {
    return served_.at(Index(kind));
  }

 private:
  static std::size_t Index(RequestKind kind) {
    return static_cast<std::size_t>(kind);
  }
  /// Reports a booking that was refused and nevertheless executed.
  void CheckRefusal(const std::string& request, const RequestRecord& record);

  std::map<std::string, RequestRecord> requests_;  ///< By request id.
  /// The bound of each revoked key.
  std::map<std::string, core::Instant> revoked_;
  std::vector<unsigned> sent_ = std::vector<unsigned>(kRequestKinds);
  std::vector<unsigned> served_ = std::vector<unsigned>(kRequestKinds);
  std::vector<std::string> violations_;
  core::Instant last_fault_;
};

}  // namespace foxquay::platform::soak

#endif  // FOXQUAY_TESTS_PLATFORM_SOAK_INVARIANT_CHECKER_H_
