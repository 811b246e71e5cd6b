#ifndef FOXQUAY_TESTS_PLATFORM_SOAK_LEDGER_H_
#define FOXQUAY_TESTS_PLATFORM_SOAK_LEDGER_H_

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

enum class Kind : std::uint8_t {
  kRead,    ///< May be repeated.
  kBook,    ///< Runs once at most.
  kStream,  ///< May be resumed.
};
inline constexpr std::size_t kKinds = 3;

/// Time that hosts have to be in touch again, from the site files.
inline constexpr core::Duration kContact = std::chrono::seconds(4);

/// Events of a stream.
inline constexpr unsigned kEvents = 24;

/// Key that every configuration holds.
inline constexpr const char* kFixedKey = "fixed";

/// Returns the whole answer to a plain request.
[[nodiscard]] std::string AnswerOf(const std::string& request);
/// Returns one event of the stream that answers a request.
[[nodiscard]] std::string EventOf(const std::string& request, unsigned event);

/// What callers sent, what upstreams ran and what callers got; finds broken
/// promises. Not thread-safe.
class Ledger {
 public:
  struct Entry {
    Kind kind = Kind::kRead;
    std::string target;
    std::string body;
    std::string workspace;
    std::string key;
    core::Instant sent;
    unsigned runs = 0;
    std::optional<unsigned> status;  ///< Of a complete answer.
    std::string got;
  };

  void NoteSent(const std::string& request, Entry entry);
  /// Takes a request that an upstream of `service` begins to work on.
  void NoteRun(const std::string& service, const net::Request& request);
  /// Takes a complete answer.
  void NoteAnswer(const std::string& request, unsigned status,
                  const std::string& body, bool stamped);
  /// Notes that no request sent later than `bound` may run with a key.
  void NoteRevoked(const std::string& key, core::Instant bound);
  /// Notes that a fault strikes, or ends, after which promises with a bound in
  /// time hold only once `kContact` is over.
  void NoteFault(core::Instant now) { fault_ = now; }
  [[nodiscard]] bool Calm(core::Instant now) const {
    return now - fault_ > kContact;
  }
  void Report(const std::string& promise, const std::string& what);

  [[nodiscard]] const std::vector<std::string>& broken() const {
    return broken_;
  }
  [[nodiscard]] unsigned sent(Kind kind) const { return sent_.at(Index(kind)); }
  [[nodiscard]] unsigned served(Kind kind) const {
    return served_.at(Index(kind));
  }

 private:
  static std::size_t Index(Kind kind) { return static_cast<std::size_t>(kind); }
  void CheckRefusal(const std::string& request, const Entry& entry);

  std::map<std::string, Entry> entries_;
  std::map<std::string, core::Instant> revoked_;
  std::vector<unsigned> sent_ = std::vector<unsigned>(kKinds);
  std::vector<unsigned> served_ = std::vector<unsigned>(kKinds);
  std::vector<std::string> broken_;
  core::Instant fault_;
};

}  // namespace foxquay::platform::soak

#endif  // FOXQUAY_TESTS_PLATFORM_SOAK_LEDGER_H_
