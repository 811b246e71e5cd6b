#ifndef FOXQUAY_TESTS_RELAY_CUT_FLEET_H_
#define FOXQUAY_TESTS_RELAY_CUT_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <tuple>
#include <vector>

#include "foxquay/core/time.h"
#include "foxquay/fleet/table.h"
#include "foxquay/relay/relay.h"

namespace foxquay::relay {

/// What is done for hosts that are cut off from the upstreams.
enum class CutPolicy : std::uint8_t {
  kNone,       ///< Nothing.
  kDirectory,  ///< Callers are sent to the other hosts.
  kRelay,      ///< As kDirectory, and hosts pass requests on.
};

/// Shape, load and fault of a simulated fleet.
struct CutFleetOptions {
  CutPolicy policy = CutPolicy::kRelay;
  std::size_t hosts = 8;
  std::size_t cut = 5;  ///< Hosts that are cut off, the first ones.
  std::size_t upstreams = 12;
  double rate = 57;      ///< Requests per second, over all hosts.
  bool hang = false;     ///< Connections hang instead of being refused.
  bool all_end = false;  ///< All upstreams end instead of the cut.
  std::uint64_t seed = 1;
};

/// What happened from 3 s after the begin of the cut to its end.
struct CutFleetResult {
  std::size_t sent_at_cut = 0;
  std::size_t served_at_cut = 0;
  std::size_t sent_at_others = 0;
  std::size_t served_at_others = 0;
  std::size_t relayed = 0;
  std::size_t false_cuts = 0;   ///< Hosts that wrongly count as cut off.
  core::Duration added_time{};  ///< Mean, of requests served at cut hosts.
  std::size_t sent_after = 0;   ///< From 1 s after the cut on, at cut hosts.
  std::size_t served_after = 0;
};

/// Entry hosts and the upstreams of a plain service in simulated time; callers
/// keep the answer that names hosts for 5 s.
class CutFleet {
 public:
  explicit CutFleet(const CutFleetOptions& options);
  /// Plays 25 s, with a cut from 5 s to 17 s.
  CutFleetResult Run();

 private:
  /// A request at one host; `origin` is that of the caller's request.
  struct Request {
    std::size_t host = 0;
    std::size_t origin = 0;
    core::RequestId id;
    core::Instant arrived;
    bool ended = false;
  };
  struct Event {
    core::Instant at;
    std::uint64_t number = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::tie(other.at, other.number) < std::tie(at, number);
    }
  };

  void After(core::Duration delay, std::function<void()> action);
  void Arrive();
  std::size_t Add(std::size_t host, std::size_t origin);
  void Start(std::size_t request, bool relayed, unsigned prior_sends);
  void Perform(std::size_t request, const Decision& decision);
  void SendTo(std::size_t request);
  void Relayed(std::size_t request, const Send& send);
  void End(std::size_t request, bool served);
  void Review(std::size_t host);
  void Inquire(std::size_t host);
  void UpdateDirectory();
  [[nodiscard]] bool Reaches(std::size_t host) const;
  [[nodiscard]] bool InCut() const;

  CutFleetOptions options_;
  CutFleetResult result_;
  std::mt19937_64 random_;
  std::shared_ptr<const fleet::Table> table_;
  core::Instant now_;
  std::priority_queue<Event> events_;
  std::uint64_t next_event_ = 0;
  std::deque<Relay> hosts_;
  std::deque<Request> requests_;
  /// Requests by host and id.
  std::map<std::pair<std::size_t, core::RequestId>, std::size_t> by_id_;
  /// The request at the host that passed it on.
  std::map<std::size_t, std::size_t> parents_;
  std::vector<std::size_t> directory_;
  std::vector<std::vector<std::size_t>> callers_;  ///< Hosts that each knows.
  core::Duration total_added_{};
};

}  // namespace foxquay::relay

#endif  // FOXQUAY_TESTS_RELAY_CUT_FLEET_H_
