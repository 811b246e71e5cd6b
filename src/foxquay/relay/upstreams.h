#ifndef FOXQUAY_RELAY_UPSTREAMS_H_
#define FOXQUAY_RELAY_UPSTREAMS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/placement/chain.h"
#include "foxquay/relay/latency_tracker.h"
#include "foxquay/schema/announcement.h"
#include "foxquay/schema/fleet.h"

namespace foxquay::relay {

/// Part of a request's way through upstreams, by address.
struct Hop {
  core::UpstreamId upstream;
  std::string address;
  placement::Range layers;  ///< Empty for a plain service.

  friend bool operator==(const Hop&, const Hop&) = default;
};

/// Sizes of a request that its cost depends on.
struct Work {
  double prompt_tokens = 0;
  double answer_tokens = 0;
};

/// Which upstreams a way may begin at.
struct FirstHops {
  std::vector<core::UpstreamId> avoid;
  std::vector<core::UpstreamId> only;  ///< Any if empty.

  [[nodiscard]] bool Allows(const core::UpstreamId& upstream) const;
};

/// Why no way was found.
enum class NoPath : std::uint8_t {
  kNoUpstream,  ///< No upstream of the service is known.
  kBusy,        ///< All ways are full or avoided for now.
  kNoLayers,    ///< Some layer of the model is held by none.
};

/// The upstreams of all services, this host's work at each, and which to avoid.
///
/// Not thread-safe; performs no I/O.
class Upstreams {
 public:
  /// Replaces the list of upstreams in use; work at others is kept until it
  /// ends.
  void Set(const std::vector<schema::Announcement>& announcements,
           core::Instant now);
  /// Sets the number of hosts that send work, at least 1.
  void SetHosts(std::size_t hosts) { hosts_ = hosts; }

  /// Returns the way for a request that may begin at `first`, or why there is
  /// none.
  ///
  /// A plain service's upstream is the one with the least work of this host
  /// among those that are not suspected. A model's way is the cheapest chain,
  /// where each stage costs its share of the request's prefill and token steps
  /// at the work that all hosts are assumed to have there.
  [[nodiscard]] std::vector<Hop> ChoosePath(const schema::Service& service,
                                            const Work& work,
                                            const FirstHops& first,
                                            core::Instant now, NoPath& reason);

  /// Counts a request's work at its hops, and ends it.
  void Begin(const std::vector<Hop>& hops, const Work& work);
  void End(const std::vector<Hop>& hops, const Work& work);

  /// Avoids an upstream for a time that doubles with each failure in a row.
  void RecordFailure(const core::UpstreamId& upstream, core::Instant now);
  /// Counts a failure that may be a single one, e.g. a garbled answer; avoids
  /// the upstream from the second in a row on.
  void RecordPossibleFailure(const core::UpstreamId& upstream,
                             core::Instant now);
  /// Avoids an upstream until its next announcement, which says why it turned
  /// work away.
  void RecordRejection(const core::UpstreamId& upstream, core::Instant now);
  /// Avoids all hops of a way, one of which failed, without knowing which; they
  /// are used all the same if there is no other way.
  void RecordPathFailure(const std::vector<Hop>& hops, core::Instant now);
  /// Notes that the hops have served a request well.
  void RecordSuccess(const std::vector<Hop>& hops);

  /// Takes the time between two events of a stream, or until an answer, of a
  /// request that began at an upstream.
  void RecordLatency(const core::UpstreamId& upstream, core::Duration time,
                     core::Instant now);

  /// Returns whether an upstream is in use.
  [[nodiscard]] bool Known(const core::UpstreamId& upstream) const;
  /// Returns the upstream at an address, if one is in use.
  [[nodiscard]] std::optional<core::UpstreamId> FindByAddress(
      const std::string& address) const;

 private:
  struct Entry {
    schema::Announcement announcement;
    bool present = true;
    std::size_t in_flight = 0;  ///< Requests of this host there.
    double tokens = 0;          ///< Their tokens.
    double token_layers = 0;    ///< Their tokens in each layer that they use.
    int consecutive_failures = 0;  ///< In a row.
    LatencyTracker latency;
    core::Instant last_possible_failure;
    core::Instant avoid_until;
    core::Instant deprioritized_until;  ///< Avoided if there is another way.
  };

  [[nodiscard]] std::vector<Hop> ChoosePlain(const schema::Service& service,
                                             const FirstHops& first,
                                             core::Instant now, NoPath& reason);
  [[nodiscard]] std::vector<Hop> ChooseChain(const schema::Service& service,
                                             const Work& work,
                                             const FirstHops& first,
                                             bool include_deprioritized,
                                             core::Instant now, NoPath& reason);
  [[nodiscard]] std::optional<placement::Candidate> EstimateCost(
      const Entry& entry, const schema::Engine& engine, const Work& work) const;
  [[nodiscard]] static bool Usable(const Entry& entry, core::Instant now);

  std::map<core::UpstreamId, Entry> entries_;
  std::size_t hosts_ = 1;
  std::uint64_t rotation_ = 0;
};

}  // namespace foxquay::relay

#endif  // FOXQUAY_RELAY_UPSTREAMS_H_
