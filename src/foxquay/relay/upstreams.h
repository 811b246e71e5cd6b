#ifndef FOXQUAY_RELAY_UPSTREAMS_H_
#define FOXQUAY_RELAY_UPSTREAMS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/placement/chain.h"
#include "foxquay/relay/chain_mix.h"
#include "foxquay/relay/hold_offs.h"
#include "foxquay/relay/latency_tracker.h"
#include "foxquay/relay/locality.h"
#include "foxquay/relay/rate_limits.h"
#include "foxquay/relay/stage_cost.h"
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

/// Returns a path for a log line: `ADDRESS/FIRST-END` for each hop, END
/// exclusive; without layers only the address. Thread-safe.
[[nodiscard]] std::string FormatPath(const std::vector<Hop>& hops);

/// The upstreams that may be the first hop of a path.
struct FirstHops {
  std::vector<core::UpstreamId> avoid;  ///< Excluded.
  std::vector<core::UpstreamId> only;   ///< Any if empty.

  [[nodiscard]] bool Allows(const core::UpstreamId& upstream) const;
};

/// What a plain service can take, by what one host knows.
struct ServiceRoom {
  std::size_t upstreams = 0;  ///< Upstreams in use.
  std::size_t accepting = 0;  ///< Of these, those that may take spare requests.
  std::size_t slots = 0;      ///< Slots of those that accept.
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
  /// `seed` initializes the random choice among chains, which differs between
  /// hosts.
  explicit Upstreams(std::uint64_t seed = 0) : random_(seed) {}

  /// Replaces the list of upstreams in use. Upstreams that left the list are
  /// kept until their requests have ended.
  void Set(const std::vector<schema::Announcement>& announcements,
           core::Instant now);
  /// Sets the number of hosts that send requests. Precondition: at least 1.
  void SetHosts(std::size_t hosts) { hosts_ = hosts; }

  /// Sets the data centre of this host and the number of hosts that send
  /// requests in each; requests then stay in their data centre where there is
  /// room.
  void SetLocality(core::DataCentreId own, CentreShares hosts) {
    own_centre_ = std::move(own);
    hosts_by_centre_ = std::move(hosts);
  }

  /// Sets the number of requests that all hosts have sent and that have not
  /// ended. Until it is set, every host is assumed to have as many as this one.
  void SetOpenRequests(double requests) { open_requests_ = requests; }

  /// Returns the path for a request whose first hop must be allowed by `first`.
  /// If there is none, the path is empty and `reason` is set.
  ///
  /// For a plain service, this is the upstream with the lowest expected latency
  /// under this host's requests, among those that are not avoided; of equal
  /// ones, the one not used for longest. For a model,
  /// it is one of two chains drawn from the mix over which the requests of all
  /// hosts are spread: the one that this host's own requests and measurements
  /// make less expensive than the mix assumes. If there are no other hosts,
  /// none of these chains may be used, or this host holds leave to send to
  /// limited upstreams, which the mix does not contain, it is the cheapest
  /// chain.
  [[nodiscard]] std::vector<Hop> ChoosePath(const schema::Service& service,
                                            const Work& work,
                                            const FirstHops& first,
                                            core::Instant now, NoPath& reason);

  /// Returns the open requests of all hosts, relative to those that the
  /// upstreams of a model can hold at once. 0 for a plain service, and while no
  /// chain can be used.
  [[nodiscard]] double Use(const schema::Service& service, core::Instant now);
  /// Returns what a plain service can take.
  [[nodiscard]] ServiceRoom Room(const core::ServiceId& service,
                                 core::Instant now) const;
  /// Returns the path to the upstream of a plain service with the lowest
  /// expected latency, for a request that is not needed: one with a free slot
  /// and a recent latency below `max_latency` that is not avoided, has turned
  /// none away lately and has no limit. Empty if there is none.
  [[nodiscard]] std::vector<Hop> ChooseSpare(const core::ServiceId& service,
                                             const FirstHops& first,
                                             core::Duration max_latency,
                                             core::Instant now) const;

  /// Adds a request that is sent to the load of its hops, or removes it. Uses
  /// the leaves of hops that are limited.
  void Begin(const std::vector<Hop>& hops, const Work& work, core::Instant now);
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
  /// Records that an upstream turned a request away. Until about its next
  /// announcement it is used only if there is no other.
  void RecordRefusal(const core::UpstreamId& upstream, core::Instant now);
  /// Records that one hop of a path failed and it is not known which. A single
  /// hop counts as failed; several are avoided unless there is no other path.
  void RecordPathFailure(const std::vector<Hop>& hops, core::Instant now);
  /// Excludes an upstream that has stated in an answer that it leaves, until it
  /// has restarted. Returns whether it was not excluded before.
  bool RecordLeaving(const core::UpstreamId& upstream, core::Instant now);
  /// Excludes an upstream that asks this host for no requests until `until`,
  /// whether it is in use or not. Returns whether it had not asked for as long.
  bool RecordHoldOff(const core::UpstreamId& upstream, core::Instant until);
  /// Records what the answer of an upstream states about the requests a second
  /// that it takes, or that it states nothing; returns whether the limit in
  /// force changed.
  bool RecordLimit(const core::UpstreamId& upstream, std::optional<double> rate,
                   core::Instant now);
  /// Returns the pauses that upstreams have requested from this process.
  [[nodiscard]] HoldOffs& hold_offs() noexcept { return hold_offs_; }
  /// Returns this host's part in the limits that upstreams state.
  [[nodiscard]] RateLimits& limits() noexcept { return limits_; }
  [[nodiscard]] const RateLimits& limits() const noexcept { return limits_; }
  /// Returns whether the upstreams of a service that may be used between `now`
  /// and `time`, with regard to what they have asked for, can serve it at all.
  [[nodiscard]] bool AcceptsBy(const schema::Service& service,
                               core::Instant now, core::Instant time) const;
  /// Resets the failures of hops that have served a request.
  void RecordSuccess(const std::vector<Hop>& hops);

  /// Records the time between two events of a stream, or to an answer, for a
  /// request whose first hop is `upstream`.
  void RecordLatency(const core::UpstreamId& upstream, core::Duration time,
                     core::Instant now);

  /// Records that a request was not answered within `time`.
  void RecordMinLatency(const core::UpstreamId& upstream, core::Duration time,
                        core::Instant now);

  /// Returns the number of upstreams of a service that are in use.
  [[nodiscard]] std::size_t Count(const core::ServiceId& service) const;
  /// Returns whether every upstream of a service, or every first hop of its
  /// chains, is avoided because it failed; false if there is none.
  [[nodiscard]] bool AllFailed(const core::ServiceId& service,
                               core::Instant now) const;
  /// Forgets the failures of the upstreams of a service.
  void ForgetFailures(const core::ServiceId& service);
  /// Returns the service of an upstream, if it is in use.
  [[nodiscard]] std::optional<core::ServiceId> FindService(
      const core::UpstreamId& upstream) const;
  /// Returns the address of an upstream, if it is in use.
  [[nodiscard]] std::optional<std::string> FindAddress(
      const core::UpstreamId& upstream) const;
  /// Returns whether an upstream is in use.
  [[nodiscard]] bool Known(const core::UpstreamId& upstream) const;
  /// Returns whether an upstream is no longer in the list, or has said that it
  /// leaves.
  [[nodiscard]] bool Leaves(const core::UpstreamId& upstream) const;
  /// Returns the start time of an upstream; the epoch if it is unknown.
  [[nodiscard]] core::WallTime Born(const core::UpstreamId& upstream) const;
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
    /// Value of `uses_` at its latest request; decides among equal upstreams.
    std::uint64_t last_used = 0;
    StageLoad mixed;  ///< Load from all hosts according to the mix.
    int consecutive_failures = 0;
    core::Instant failed_until;  ///< Avoided because it failed.
    LatencyTracker latency;
    core::Instant last_possible_failure;
    core::Instant avoid_until;  ///< Not used before.
    /// When an answer stated that it leaves; not used any more.
    std::optional<core::Instant> left_at;
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
  /// The chains over which the requests of all hosts for a service are spread.
  struct Mix {
    std::vector<std::vector<Hop>> chains;  ///< One for each part of the load.
    /// Rate at which the requests of each part end, and are replaced, relative
    /// to the others.
    std::vector<double> rates;
    double room = 0;  ///< Requests for which there is room in all.
    core::Instant computed_at;
    double requests = 0;        ///< Load for which it was computed.
    std::uint64_t changes = 0;  ///< Value of `changes_` at that time.
  };

  /// Returns an upstream as a candidate stage, without its cost; nothing if it
  /// may not be used or holds no layers of the model.
  [[nodiscard]] std::optional<MixStage> MakeStage(
      const Entry& entry, const schema::Service& service, const Work& work,
      bool include_deprioritized, core::Instant now) const;
  /// Returns the cheapest chain under the estimated load of all hosts.
  [[nodiscard]] std::vector<Hop> ChooseCheapest(
      const schema::Service& service, const Work& work, const FirstHops& first,
      bool include_deprioritized, core::Instant now, NoPath& reason);
  /// Returns the use of the upstreams of a mix. Precondition: it has chains.
  [[nodiscard]] double UseOf(const Mix& mix) const;
  /// Weights chains, which are drawn by `rates`, so that requests stay in the
  /// data centre of this host as far as `use` permits.
  void WeightByLocality(const std::vector<const std::vector<Hop>*>& chains,
                        double use, std::vector<double>& rates) const;
  /// Draws a chain from the mix; empty if none of its chains may be used.
  [[nodiscard]] std::vector<Hop> ChooseFromMix(const schema::Service& service,
                                               const Work& work,
                                               const FirstHops& first,
                                               core::Instant now);
  /// Returns the mix of a service, computed anew if it is out of date.
  [[nodiscard]] const Mix& UpdateMix(const schema::Service& service,
                                     core::Instant now);
  /// Returns the rate at which the requests of each chain end, from the time
  /// between events that this host has measured there, or from its estimate.
  [[nodiscard]] std::vector<double> EndRates(
      const std::vector<std::vector<Hop>>& chains,
      const std::vector<core::Duration>& estimates, double events) const;
  /// Returns whether a chain of the mix may take a request.
  [[nodiscard]] bool ChainUsable(const std::vector<Hop>& hops,
                                 const FirstHops& first,
                                 core::Instant now) const;
  /// Returns the cost of a chain under this host's knowledge, relative to its
  /// cost under the load of the mix.
  [[nodiscard]] double CostRatio(const schema::Engine& engine,
                                 const std::vector<Hop>& hops, const Work& work,
                                 core::Instant now) const;
  /// Returns the load of all hosts on an upstream: that of the mix with this
  /// host's share replaced by its own requests.
  [[nodiscard]] StageLoad EstimateLoad(const Entry& entry) const;
  /// Returns the requests that all hosts have sent and that have not ended.
  [[nodiscard]] double TotalRequests() const;
  [[nodiscard]] NoPath ReasonWithoutChain(const schema::Service& service) const;
  [[nodiscard]] static bool IsChain(const std::vector<Hop>& hops);
  /// Returns whether an upstream may be used if it has no limit.
  [[nodiscard]] bool Usable(const Entry& entry, core::Instant now) const;
  /// Returns whether an upstream may take a request that is not needed.
  [[nodiscard]] bool AcceptsSpare(const Entry& entry, core::Instant now) const;
  /// Returns whether the limit of an upstream, if it has one, allows a request.
  [[nodiscard]] bool WithinLimit(const Entry& entry, core::Instant now) const;
  [[nodiscard]] bool Limited(const Entry& entry) const;
  /// Returns whether what an upstream asked for matters after it has left the
  /// list, as it may be listed again.
  [[nodiscard]] static bool Remembered(const Entry& entry, core::Instant now);

  std::map<core::UpstreamId, Entry> entries_;
  std::size_t hosts_ = 1;
  core::DataCentreId own_centre_;
  CentreShares hosts_by_centre_;  ///< Empty if it is not known.
  std::optional<double> open_requests_;
  double own_requests_ = 0;  ///< Requests of this host on chains.
  std::map<core::ServiceId, Mix> mixes_;
  RateLimits limits_;
  HoldOffs hold_offs_;
  std::uint64_t changes_ = 0;  ///< Changes of the upstreams that may be used.
  std::mt19937_64 random_;
  std::uint64_t uses_ = 0;  ///< Requests sent, counted once for each hop.
};

}  // namespace foxquay::relay

#endif  // FOXQUAY_RELAY_UPSTREAMS_H_
