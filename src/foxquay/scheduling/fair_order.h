#ifndef FOXQUAY_SCHEDULING_FAIR_ORDER_H_
#define FOXQUAY_SCHEDULING_FAIR_ORDER_H_

#include <algorithm>
#include <cassert>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <utility>

#include "foxquay/core/time.h"

namespace foxquay::scheduling::internal {

/// Orders backlogged flows by start-time fair queueing (Goyal, Vin and Cheng
/// 1996), with costs that are corrected after service.
///
/// Each flow has a virtual start tag. The flow with the smallest tag is next,
/// and service advances its tag by cost / weight. A correction moves the tag by
/// the error of the estimate, also to below the virtual time, so that a flow
/// that was charged too much gets that service later. Not thread-safe.
template <class Key>
class FairOrder {
 public:
  /// Sort key of a backlogged flow; `number` breaks ties by order of arrival.
  struct Rank {
    double tag = 0;  ///< Virtual start time, in seconds of service per weight.
    std::uint64_t number = 0;
    friend auto operator<=>(const Rank&, const Rank&) = default;
  };
  using Ranks = std::map<Rank, Key>;

  /// Keeps the state of idle flows that were charged more than their share
  /// until there are `capacity` flows in all; then drops that of all idle ones.
  explicit FairOrder(std::size_t capacity) : capacity_(capacity) {}

  /// Adds a waiting leg to a flow and sets the flow's weight.
  ///
  /// Precondition: `weight` is positive.
  void Add(const Key& key, double weight) {
    assert(weight > 0 && "weight must be positive");
    Flow& flow = FindOrCreate(key);
    flow.weight = weight;
    if (flow.waiting++ > 0) return;
    flow.rank.tag = std::max(flow.rank.tag, virtual_time_);
    flow.rank.number = next_number_++;
    ranks_.emplace(flow.rank, key);
  }

  /// Removes a waiting leg without service.
  ///
  /// Precondition: the flow has a waiting leg.
  void Remove(const Key& key) {
    Flow& flow = flows_.at(key);
    if (--flow.waiting == 0) ranks_.erase(flow.rank);
  }

  /// Moves a waiting leg into service and charges its estimated cost.
  ///
  /// Precondition: the flow has a waiting leg.
  void Serve(const Key& key, core::Duration cost) {
    Flow& flow = flows_.at(key);
    virtual_time_ = std::max(virtual_time_, flow.rank.tag);
    Remove(key);
    ++flow.running;
    AdvanceTag(key, flow, cost);
  }

  /// Ends the service of a leg and corrects its charge by `error`, the actual
  /// cost less the estimate. Ignored if the state of the flow is not kept.
  void Complete(const Key& key, core::Duration error) {
    const auto found = flows_.find(key);
    if (found == flows_.end()) return;
    Flow& flow = found->second;
    if (flow.running > 0) --flow.running;
    AdvanceTag(key, flow, error);
  }

  /// Returns the backlogged flows, next first.
  [[nodiscard]] const Ranks& ranks() const noexcept { return ranks_; }
  /// Returns the number of flows whose state is kept.
  [[nodiscard]] std::size_t size() const noexcept { return flows_.size(); }
  /// Returns whether the state of a flow is kept.
  [[nodiscard]] bool Contains(const Key& key) const {
    return flows_.contains(key);
  }

 private:
  struct Flow {
    Rank rank;
    double weight = 1;
    std::size_t waiting = 0;  ///< Legs.
    std::size_t running = 0;  ///< Legs.
  };

  static double Seconds(core::Duration duration) noexcept {
    return std::chrono::duration<double>(duration).count();
  }

  Flow& FindOrCreate(const Key& key) {
    const auto found = flows_.find(key);
    if (found != flows_.end()) return found->second;
    if (flows_.size() >= sweep_threshold_) EvictIdleFlows();
    return flows_[key];
  }

  // Moves the tag of a flow by cost / weight; `cost` may be negative.
  void AdvanceTag(const Key& key, Flow& flow, core::Duration cost) {
    if (flow.waiting > 0) ranks_.erase(flow.rank);
    flow.rank.tag += Seconds(cost) / flow.weight;
    if (flow.waiting > 0) ranks_.emplace(flow.rank, key);
  }

  // Erases idle flows whose tag is not above the virtual time: their state
  // equals that of a new flow. If the capacity is still reached, erases all
  // idle flows.
  void EvictIdleFlows() {
    EraseIdleUpTo(virtual_time_);
    if (flows_.size() >= capacity_) {
      EraseIdleUpTo(std::numeric_limits<double>::infinity());
    }
    sweep_threshold_ = std::min(
        capacity_, std::max(kInitialSweepThreshold, 2 * flows_.size()));
    sweep_threshold_ = std::max(sweep_threshold_, flows_.size() + 1);
  }

  void EraseIdleUpTo(double max_tag) {
    std::erase_if(flows_, [max_tag](const auto& entry) {
      const Flow& flow = entry.second;
      return flow.waiting == 0 && flow.running == 0 && flow.rank.tag <= max_tag;
    });
  }

  static constexpr std::size_t kInitialSweepThreshold = 64;

  std::size_t capacity_;
  std::size_t sweep_threshold_ = kInitialSweepThreshold;
  double virtual_time_ = 0;
  std::uint64_t next_number_ = 0;
  std::map<Key, Flow> flows_;
  Ranks ranks_;
};

}  // namespace foxquay::scheduling::internal

#endif  // FOXQUAY_SCHEDULING_FAIR_ORDER_H_
