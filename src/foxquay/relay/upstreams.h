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

/// One upstream on the path of a request.
struct Hop {
  core::UpstreamId upstream;
  std::string address;
  placement::Range layers;  ///< Empty for a plain service.

  friend bool operator==(const Hop&, const Hop&) = default;
};

/// Token counts of a request, from which its cost is estimated.
struct Work {
  double prompt_tokens = 0;
  double answer_tokens = 0;  ///< Expected number.
};

/// The upstreams that may be the first hop of a path.
struct FirstHops {
  std::vector<core::UpstreamId> avoid;  ///< Excluded.
  std::vector<core::UpstreamId> only;   ///< Any if empty.

  [[nodiscard]] bool Allows(const core::UpstreamId& upstream) const;
};

/// Why no path was found.
enum class NoPath : std::uint8_t {
  kNoUpstream,  ///< The service has no upstream in use.
  kBusy,        ///< All paths are full or avoided at present.
  kNoLayers,    ///< No upstream holds some layer of the model.
};

/// The upstreams of all services, with this host's load on each and the ones to
/// avoid after failures.
///
/// Not thread-safe; performs no I/O.
class Upstreams {
 public:
  /// Replaces the list of upstreams in use. Upstreams that left the list are
  /// kept until their requests have ended.
  void Set(const std::vector<schema::Announcement>& announcements,
           core::Instant now);
  /// Sets the number of hosts that send requests. Precondition: at least 1.
  void SetHosts(std::size_t hosts) { hosts_ = hosts; }

  /// Returns the path for a request whose first hop must be allowed by `first`.
  /// If there is none, the path is empty and `reason` is set.
  ///
  /// For a plain service, this is the upstream with the lowest expected latency
  /// under this host's requests, among those that are not avoided. For a model,
  /// it is the cheapest chain: each stage costs its share of the prefill and
  /// token steps under the load of all hosts, each assumed to send as much as
  /// this one.
  [[nodiscard]] std::vector<Hop> ChoosePath(const schema::Service& service,
                                            const Work& work,
                                            const FirstHops& first,
                                            core::Instant now, NoPath& reason);

  /// Adds a request to the load of its hops, or removes it.
  void Begin(const std::vector<Hop>& hops, const Work& work);
  void End(const std::vector<Hop>& hops, const Work& work);

  /// Avoids an upstream for a time that doubles with each consecutive failure.
  void RecordFailure(const core::UpstreamId& upstream, core::Instant now);
  /// Records a failure that may be isolated, such as a corrupt answer. The
  /// upstream is avoided from the second consecutive failure on.
  void RecordPossibleFailure(const core::UpstreamId& upstream,
                             core::Instant now);
  /// Avoids an upstream that rejected a request until about its next
  /// announcement, which shows why it did.
  void RecordRejection(const core::UpstreamId& upstream, core::Instant now);
  /// Records that one hop of a path failed and it is not known which. A single
  /// hop counts as failed; several are avoided unless there is no other path.
  void RecordPathFailure(const std::vector<Hop>& hops, core::Instant now);
  /// Resets the failures of hops that have served a request.
  void RecordSuccess(const std::vector<Hop>& hops);

  /// Records the time between two events of a stream, or to an answer, for a
  /// request whose first hop is `upstream`.
  void RecordLatency(const core::UpstreamId& upstream, core::Duration time,
                     core::Instant now);

  /// Returns whether an upstream is in use.
  [[nodiscard]] bool Known(const core::UpstreamId& upstream) const;
  /// Returns the upstream at an address, if one is in use.
  [[nodiscard]] std::optional<core::UpstreamId> FindByAddress(
      const std::string& address) const;

 private:
  /// An upstream and its load from this host.
  struct Entry {
    schema::Announcement announcement;
    bool present = true;        ///< Whether it is in use.
    std::size_t in_flight = 0;  ///< Requests of this host.
    double tokens = 0;          ///< Tokens of these requests.
    double token_layers = 0;    ///< Their tokens times the layers they use.
    int consecutive_failures = 0;
    LatencyTracker latency;
    core::Instant last_possible_failure;
    core::Instant avoid_until;  ///< Not used before.
    /// Before this, used only if there is no other path.
    core::Instant deprioritized_until;
  };

  /// Chooses the upstream of a plain service.
  [[nodiscard]] std::vector<Hop> ChoosePlain(const schema::Service& service,
                                             const FirstHops& first,
                                             core::Instant now, NoPath& reason);
  /// Chooses the chain of a model; hops of paths that failed are used only with
  /// `include_deprioritized`.
  [[nodiscard]] std::vector<Hop> ChooseChain(const schema::Service& service,
                                             const Work& work,
                                             const FirstHops& first,
                                             bool include_deprioritized,
                                             core::Instant now, NoPath& reason);
  /// Returns an upstream as a candidate stage, or nothing if it holds no layers
  /// or has no memory left for the request.
  [[nodiscard]] std::optional<placement::Candidate> EstimateCost(
      const Entry& entry, const schema::Engine& engine, const Work& work) const;
  [[nodiscard]] static bool Usable(const Entry& entry, core::Instant now);

  std::map<core::UpstreamId, Entry> entries_;
  std::size_t hosts_ = 1;
  std::uint64_t rotation_ = 0;  ///< Rotates the choice among equal upstreams.
};

}  // namespace foxquay::relay

#endif  // FOXQUAY_RELAY_UPSTREAMS_H_
