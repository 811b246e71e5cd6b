#ifndef FOXQUAY_RELAY_CHAIN_MIX_H_
#define FOXQUAY_RELAY_CHAIN_MIX_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "foxquay/core/time.h"
#include "foxquay/placement/chain.h"
#include "foxquay/relay/stage_cost.h"

namespace foxquay::relay {

/// Parts into which the load of all hosts is divided to compute a mix. Must be
/// several times the number of chains, as chains beyond it get no requests. The
/// time of a computation is proportional to it.
inline constexpr std::size_t kMixParts = 48;

/// An upstream that may be a stage.
struct MixStage {
  explicit MixStage(const StageCost& stage_cost) : cost(stage_cost) {}

  placement::Candidate candidate;  ///< `per_layer` is ignored.
  StageCost cost;
  StageLoad load;  ///< Set by SpreadLoad.
};

/// A distribution of the load of all hosts.
struct LoadSpread {
  /// The chain of each part; fewer than kMixParts if there is no room for more.
  std::vector<placement::Chain> chains;
  /// Load for which there is room, relative to that which was distributed; at
  /// most kMaxRoom.
  double room = 0;
};

/// Largest room that SpreadLoad finds.
inline constexpr double kMaxRoom = 2;

/// Part of the bandwidth between data centres that chains may use. Prompts pass
/// one after the other, so that a prompt waits for a part of another one on
/// average; nearer to the whole bandwidth all of them would wait for many.
inline constexpr double kMaxPipeUse = 0.3;

/// The link that all passages between data centres share.
struct Crossing {
  core::Duration cost{};  ///< Of a passage while the link is idle.
  core::Duration time{};  ///< For which a request occupies the link.
};

/// Distributes the load of all hosts over chains. Sets the load of the stages
/// that results. Chains between data centres are left out once they would use
/// more than kMaxPipeUse of the link between these.
///
/// Each part in turn takes the cheapest chain under the load of the parts
/// before it (incremental assignment, as for traffic on roads: Dafermos and
/// Sparrow, 1969), so that all chains in use cost about the same. Answers
/// hundreds of hosts with few requests each: if each chose the cheapest chain
/// from the same old load, all would choose the same one. Each host computes
/// the same mix and draws chains from it at random. Thread-safe.
[[nodiscard]] LoadSpread SpreadLoad(std::vector<MixStage>& stages,
                                    std::uint32_t layers,
                                    const Crossing& crossing, const Work& work,
                                    double requests);

/// Use of the upstreams for which requests are distributed while there are
/// fewer. Fewer requests would take the cheapest chains only, which a crest
/// fills before hosts know of it.
inline constexpr double kPlannedUse = 0.6;

/// A distribution of the load of all hosts and what it is part of.
struct LoadPlan {
  std::vector<placement::Chain> chains;  ///< See LoadSpread.
  double requests = 0;                   ///< Load that was distributed.
  double room = 0;  ///< Requests for which there is room in all.
};

/// Distributes the load of all hosts, or kPlannedUse of the room if that is
/// more. `room` is an estimate of the room, e.g. the last one; 0 if there is
/// none. Sets the load of the stages as SpreadLoad. Thread-safe.
[[nodiscard]] LoadPlan PlanLoad(std::vector<MixStage>& stages,
                                std::uint32_t layers, const Crossing& crossing,
                                const Work& work, double requests, double room);

}  // namespace foxquay::relay

#endif  // FOXQUAY_RELAY_CHAIN_MIX_H_
