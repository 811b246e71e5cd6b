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

/// What a chain is wanted for.
struct Query {
  core::ModelId model;
  std::string adapter;                     ///< Empty for none.
  std::optional<std::string> version;      ///< Absent for any.
  std::vector<core::UpstreamId> excluded;  ///< Must not be in the chain.
  std::vector<std::uint64_t> prefixes;     ///< As PrefixHashes returns them.
};

/// A chain that may run now.
struct Plan {
  Chain chain;
  std::string version;          ///< Version that all its stages hold.
  core::Duration token_time{};  ///< Predicted time between tokens.
  core::Duration link_time{};   ///< Part of it that is spent on links.
};

/// Why there is no chain or upstream.
struct NoPlan {
  enum class Reason : std::uint8_t {
    kMissing,    ///< Some layers are held by no open upstream.
    kInBackoff,  ///< Only upstreams that failed lately hold some layers.
    kBusy,       ///< Upstreams that hold some layers are at their limit.
  };
  Reason reason = Reason::kMissing;
  std::vector<schema::LayerRange> missing;  ///< Of a model.
  core::Duration retry_after{};             ///< When to try again.
};

/// An upstream for a service call.
struct ServicePlan {
  core::UpstreamId upstream;
  std::string address;
};

/// Place and seed of a router.
struct RouterOptions {
  core::DataCentreId data_centre;
  LinkTable links;
  std::uint64_t seed = 1;
  /// Prefixes whose upstreams are remembered; about 200 bytes each.
  std::size_t max_prefixes = 16384;
};

/// Chooses chains and service upstreams, and counts the work of this host on
/// them. Not thread-safe.
class Router {
 public:
  explicit Router(RouterOptions options);

  /// Replaces the list of upstreams.
  void Replace(const std::vector<schema::Announcement>& announced);

  /// Returns the known upstreams, e.g. to set limits.
  [[nodiscard]] Upstreams& upstreams() noexcept { return upstreams_; }
  [[nodiscard]] const Upstreams& upstreams() const noexcept {
    return upstreams_;
  }

  /// Finds the better of two randomly drawn cheapest chains.
  [[nodiscard]] std::variant<Plan, NoPlan> Find(const Query& query,
                                                core::Instant now);
  /// Finds the less loaded of two randomly drawn upstreams of a service.
  [[nodiscard]] std::variant<ServicePlan, NoPlan> FindService(
      const core::ServiceId& service,
      const std::vector<core::UpstreamId>& excluded, core::Instant now);

  /// Notes that a chain runs a prompt, so that its caches hold the prefixes.
  void RecordPrefixes(const std::vector<std::uint64_t>& prefixes,
                      const Chain& chain);

  /// Counts new work on an upstream.
  void BeginWork(const core::UpstreamId& id) noexcept;
  /// Ends work that BeginWork counted.
  void EndWork(const core::UpstreamId& id) noexcept;

 private:
  struct Prediction {
    double token_seconds = 0;  ///< Between two tokens.
    double link_seconds = 0;   ///< Part of it that is spent on links.
  };
  struct ModelGroups {
    std::map<std::pair<std::string, std::optional<std::string>>,
             std::vector<Group>>
        groups;
  };

  const std::vector<Group>& Groups(const Query& query);
  bool Allowed(UpstreamIndex index,
               const std::vector<core::UpstreamId>& excluded,
               core::Instant now) const;
  /// Returns a member with its predicted time.
  Pick MakePick(UpstreamIndex index, core::Instant now);
  /// Returns the allowed member that this host started work on longest ago, or
  /// a random one that is clearly less loaded.
  Pick SelectMember(const std::vector<UpstreamIndex>& members,
                    const std::vector<core::UpstreamId>& excluded,
                    core::Instant now);
  /// Puts upstreams that hold a prefix into `picks_`; returns whether any.
  bool PickPrefixHolders(const Group& group, const Query& query,
                         core::Instant now);
  /// Returns whether one more stream keeps a chain within the load bound;
  /// `best` is the chain that load alone would choose.
  [[nodiscard]] bool WithinLoadBound(const std::vector<Step>& steps,
                                     const std::vector<Step>& best) const;
  std::optional<Plan> FindInGroup(const Group& group, const Query& query,
                                  core::Instant now);
  /// Returns the prediction for one more stream on a chain.
  [[nodiscard]] Prediction Predict(const Group& group,
                                   const std::vector<Step>& steps,
                                   core::Instant now) const;
  [[nodiscard]] Plan MakePlan(const Group& group,
                              const std::vector<Step>& steps,
                              const Prediction& time) const;
  [[nodiscard]] NoPlan ExplainNoPlan(const std::vector<Group>& groups,
                                     const Query& query,
                                     core::Instant now) const;

  RouterOptions options_;
  Upstreams upstreams_;
  std::unordered_map<core::ModelId, ModelGroups> models_;
  Planner planner_;
  std::vector<Pick> picks_;
  PrefixIndex prefix_index_;
  std::mt19937_64 random_;
  std::uint64_t start_count_ = 0;
};

/// Names missing layers, e.g. "0-7, 16-23".
[[nodiscard]] std::string FormatLayerRanges(
    const std::vector<schema::LayerRange>& missing);

}  // namespace foxquay::routing

#endif  // FOXQUAY_ROUTING_ROUTER_H_
