#include "foxquay/relay/stage_cost.h"

#include <algorithm>

#include "foxquay/placement/plan.h"

namespace foxquay::relay {
namespace internal {

using Seconds = std::chrono::duration<double>;

/// Fraction of the memory for requests above which a stage counts as full.
/// Beyond it, the engine preempts its newest request.
constexpr double kMaxMemoryFraction = 0.9;

/// Fraction of its capacity up to which the cost of a stage grows with its use.
/// A stage beyond it is compared by its time only.
constexpr double kMaxUse = 0.95;

}  // namespace internal

StageCost::StageCost(const schema::Engine& engine,
                     const schema::Accelerator& accelerator,
                     placement::Range layers)
    : step_(accelerator.pace * internal::Seconds(engine.step).count()),
      per_sequence_(accelerator.pace *
                    internal::Seconds(engine.per_sequence).count()),
      per_token_(accelerator.pace *
                 internal::Seconds(engine.context_per_k).count() / 1000),
      read_(accelerator.read_factor / engine.prefill_per_s),
      layers_(engine.layers),
      token_capacity_(
          internal::kMaxMemoryFraction *
          placement::TokensThatFit(engine, accelerator.kind, layers.size())),
      slots_(layers.first == 0 ? engine.slots : 0) {}

core::Duration StageCost::TimePerLayer(const Work& work,
                                       const StageLoad& load) const {
  const double step =
      step_ + per_sequence_ * (load.sequences + 1) + per_token_ * load.tokens;
  // While a request runs, each of the others is replaced about once, and the
  // prompt of its successor is read between the steps.
  const double read = read_ * work.prompt_tokens * (1 + load.sequences);
  return std::chrono::duration_cast<core::Duration>(
      internal::Seconds((work.answer_tokens * step + read) / layers_));
}

core::Duration StageCost::PerLayer(const Work& work,
                                   const StageLoad& load) const {
  const double use = std::min(Use(work, load), internal::kMaxUse);
  return core::Scale(TimePerLayer(work, load), 1 / (1 - use));
}

double StageCost::Use(const Work& work, const StageLoad& load) const {
  if (load.sequences <= 0) return 0;
  const double memory =
      token_capacity_ > 0 ? (load.tokens + work.MeanTokens()) / token_capacity_
                          : 1;
  const double slots = slots_ > 0 ? (load.sequences + 1) / slots_ : 0;
  return std::max(memory, slots);
}

bool StageCost::Fits(const Work& work, const StageLoad& load) const {
  // A stage always takes one request.
  if (load.sequences < 1) return true;
  if (slots_ > 0 && load.sequences + 1 > slots_) return false;
  const double demand = load.tokens + work.prompt_tokens + work.answer_tokens;
  return demand <= token_capacity_;
}

}  // namespace foxquay::relay
