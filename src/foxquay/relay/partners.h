#ifndef FOXQUAY_RELAY_PARTNERS_H_
#define FOXQUAY_RELAY_PARTNERS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"

namespace foxquay::relay {

/// Hosts among which one host that is cut off spreads its requests, so that
/// many hosts that are cut off do not connect to all others.
inline constexpr std::size_t kMaxPartners = 4;

/// Time for which a partner that could not be reached is not used.
inline constexpr core::Duration kPartnerAvoidance = std::chrono::seconds(2);

/// Another entry host that takes requests for this one.
struct Partner {
  core::HostId host;
  std::string address;  ///< Its listener for requests of other hosts.

  friend bool operator==(const Partner&, const Partner&) = default;
};

/// The entry hosts to which this host passes requests that it can send to no
/// upstream.
///
/// Each host uses a few of the others, chosen by rendezvous hashing (Thaler and
/// Ravishankar, 1998), and others when these cannot be used. Not thread-safe;
/// performs no I/O.
class Partners {
 public:
  explicit Partners(std::uint64_t seed = 0) : random_(seed) {}

  /// Replaces the hosts that take requests: entry hosts that are alive, admit
  /// requests, do not drain and reach upstreams. `self` is this host.
  void Set(const core::HostId& self, std::vector<Partner> partners);

  /// Returns the one of two random partners with fewer requests of this host;
  /// nothing if all have been tried, or could not be reached lately.
  [[nodiscard]] std::optional<Partner> Choose(
      const std::vector<core::HostId>& tried, core::Instant now);

  /// Adds a request to the load of a partner, or removes it.
  void Begin(const core::HostId& partner) { ++in_flight_[partner]; }
  void End(const core::HostId& partner);
  /// Records that a partner could not be reached, or broke off an answer.
  void RecordFailure(const core::HostId& partner, core::Instant now);

  [[nodiscard]] bool empty() const noexcept { return ranked_.empty(); }

 private:
  std::vector<Partner> ranked_;  ///< By rendezvous hash, the highest first.
  std::map<core::HostId, std::size_t> in_flight_;
  std::map<core::HostId, core::Instant> avoid_until_;
  std::mt19937_64 random_;
};

}  // namespace foxquay::relay

#endif  // FOXQUAY_RELAY_PARTNERS_H_
