#ifndef FOXQUAY_ROUTING_ROUTER_H_
#define FOXQUAY_ROUTING_ROUTER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/routing/chain.h"
#include "foxquay/routing/fwd.h"
#include "foxquay/routing/group.h"
#include "foxquay/routing/links.h"
#include "foxquay/routing/planner.h"
#include "foxquay/routing/prefix_index.h"
#include "foxquay/routing/upstreams.h"

namespace foxquay::routing {

/// Requirements on a chain.
struct Query {
  core::ModelId model;
  std::string adapter;                     ///< Empty if none is used.
  std::optional<std::string> version;      ///< Absent if any will do.
  std::vector<core::UpstreamId> excluded;  ///< Must not be in the chain.
  std::vector<std::uint64_t> prefixes;     ///< From PrefixHashes.
};

/// A chain whose upstreams all accept work now.
struct Plan {
  Chain chain;
  std::string version;          ///< Model version that all its stages hold.
  core::Duration token_time{};  ///< Predicted time between tokens.
  core::Duration link_time{};   ///< Part of `token_time` spent on the network.
};

/// Reason why no chain or service upstream was found.
struct NoPlan {
  enum class Reason : std::uint8_t {
    /// No upstream that accepts work holds some of the layers.
    kMissing,
    /// Some layers are held only by upstreams in back-off after a failure.
    kInBackoff,
    /// The upstreams of some layers are at their in-flight limit.
    kBusy,
  };
  Reason reason = Reason::kMissing;
  /// Layers of the model without a usable upstream; empty for a service, for a
  /// model that no upstream announces and with kBusy.
  std::vector<schema::LayerRange> missing;
  core::Duration retry_after{};  ///< Time until a retry may succeed.
};

/// The upstream chosen for a service call.
struct ServicePlan {
  core::UpstreamId upstream;
  std::string address;  ///< Network address of the upstream.
};

struct RouterOptions {
  core::DataCentreId data_centre;  ///< Of this host.
  LinkTable links;
  /// Seed of the random choices; hosts with the same seed choose alike.
  std::uint64_t seed = 1;
  /// Capacity of the prefix index, in prefixes of about 200 bytes each.
  std::size_t max_prefixes = 16384;
};

/// Chooses chains of upstreams for completions and single upstreams for service
/// calls, and counts the work that this host has in flight on each. Not
/// thread-safe.
class Router {
 public:
  explicit Router(RouterOptions options);

  /// Replaces the list of announced upstreams.
  void Replace(const std::vector<schema::Announcement>& announced);

  /// Returns the known upstreams, e.g. to set their limits.
  [[nodiscard]] Upstreams& upstreams() noexcept { return upstreams_; }
  [[nodiscard]] const Upstreams& upstreams() const noexcept {
    return upstreams_;
  }

  /// Returns the chain with the least predicted time between tokens, over all
  /// versions that the query allows.
  ///
  /// For each version it plans the cheapest chain twice, with members of each
  /// class that are chosen partly at random, and keeps the better one (the
  /// power of two choices). A chain that probably has the prompt's prefix
  /// cached is preferred if it is not much slower or more loaded.
  [[nodiscard]] std::variant<Plan, NoPlan> Find(const Query& query,
                                                core::Instant now);
  /// Returns an upstream of a service, chosen in the same way as a member of a
  /// class of a chain.
  [[nodiscard]] std::variant<ServicePlan, NoPlan> FindService(
      const core::ServiceId& service,
      const std::vector<core::UpstreamId>& excluded, core::Instant now);

  /// Records that a chain runs a prompt, so that its caches hold the prefixes.
  void RecordPrefixes(const std::vector<std::uint64_t>& prefixes,
                      const Chain& chain);

  /// Counts one leg or call as in flight on an upstream; unknown ones are
  /// ignored.
  void BeginWork(const core::UpstreamId& id) noexcept;
  /// Removes one leg or call that BeginWork counted.
  void EndWork(const core::UpstreamId& id) noexcept;

 private:
  struct Prediction {
    double token_seconds = 0;  ///< Time between two tokens.
    double link_seconds = 0;   ///< Part of it spent on the network.
  };
  /// Groups of one model, by adapter and version of the query.
  struct ModelGroups {
    std::map<std::pair<std::string, std::optional<std::string>>,
             std::vector<Group>>
        groups;
  };

  /// Returns the groups for a query, which are built on first use. The
  /// reference is valid until the next call.
  const std::vector<Group>& Groups(const Query& query);
  /// Returns whether an upstream is usable now and not excluded by the query.
  bool Allowed(UpstreamIndex index,
               const std::vector<core::UpstreamId>& excluded,
               core::Instant now) const;
  /// Returns an upstream with its predicted time per layer. Its penalty for
  /// failures is ignored with probability 1 / penalty factor.
  Pick MakePick(UpstreamIndex index, core::Instant now);
  /// Returns the allowed member on which this host started work longest ago, or
  /// a random other one whose predicted time is clearly shorter. The result is
  /// not valid if no member is allowed.
  Pick SelectMember(const std::vector<UpstreamIndex>& members,
                    const std::vector<core::UpstreamId>& excluded,
                    core::Instant now);
  /// Replaces members in `picks_` by upstreams that probably have a prefix of
  /// the prompt cached; returns whether there are any.
  bool PickPrefixHolders(const Group& group, const Query& query,
                         core::Instant now);
  /// Returns whether each upstream of the chain `steps`, with one more stream,
  /// stays within the load bound. The bound is relative to the mean load of
  /// `best`, the chain that was planned without regard to caches.
  [[nodiscard]] bool WithinLoadBound(const std::vector<Step>& steps,
                                     const std::vector<Step>& best) const;
  /// Returns the best chain in one group, or nothing if some layers have no
  /// allowed upstream.
  std::optional<Plan> FindInGroup(const Group& group, const Query& query,
                                  core::Instant now);
  /// Predicts the time between tokens of one more stream on a chain.
  [[nodiscard]] Prediction Predict(const Group& group,
                                   const std::vector<Step>& steps,
                                   core::Instant now) const;
  [[nodiscard]] Plan MakePlan(const Group& group,
                              const std::vector<Step>& steps,
                              const Prediction& time) const;
  /// Returns why no group has a chain for the query.
  [[nodiscard]] NoPlan ExplainNoPlan(const std::vector<Group>& groups,
                                     const Query& query,
                                     core::Instant now) const;

  RouterOptions options_;
  Upstreams upstreams_;
  std::unordered_map<core::ModelId, ModelGroups> models_;
  Planner planner_;
  std::vector<Pick> picks_;  ///< One for each class of the planned group.
  PrefixIndex prefix_index_;
  std::mt19937_64 random_;
  std::uint64_t start_count_ = 0;  ///< Calls of BeginWork.
};

/// Formats layer ranges for a message, e.g. "0-7, 16-23".
[[nodiscard]] std::string FormatLayerRanges(
    const std::vector<schema::LayerRange>& ranges);

}  // namespace foxquay::routing

#endif  // FOXQUAY_ROUTING_ROUTER_H_
