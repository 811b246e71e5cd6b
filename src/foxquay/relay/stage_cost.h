#ifndef FOXQUAY_RELAY_STAGE_COST_H_
#define FOXQUAY_RELAY_STAGE_COST_H_

#include "foxquay/core/time.h"
#include "foxquay/placement/range.h"
#include "foxquay/schema/fleet.h"

namespace foxquay::relay {

/// Token counts of a request, from which its cost is estimated.
struct Work {
  double prompt_tokens = 0;
  double answer_tokens = 0;  ///< Expected number.

  /// Returns the tokens that the request holds in memory on average: its answer
  /// grows from zero to its full length.
  [[nodiscard]] double MeanTokens() const noexcept {
    return prompt_tokens + answer_tokens / 2;
  }
};

/// Requests that pass through a stage, of all hosts.
struct StageLoad {
  double sequences = 0;  ///< Number of requests.
  double tokens = 0;     ///< Tokens that they hold in memory.
};

/// Estimates how long a request takes at one stage of a chain under a load.
///
/// Immutable and thread-safe.
class StageCost {
 public:
  /// Precondition: `layers` is not empty.
  StageCost(const schema::Engine& engine,
            const schema::Accelerator& accelerator, placement::Range layers);

  /// Returns the time that a request takes per layer of the stage.
  [[nodiscard]] core::Duration TimePerLayer(const Work& work,
                                            const StageLoad& load) const;
  /// Returns the cost of a request per layer of the stage: its time, divided by
  /// the part of the stage that is left, as the wait in a queue grows with its
  /// use.
  [[nodiscard]] core::Duration PerLayer(const Work& work,
                                        const StageLoad& load) const;
  /// Returns the fraction of the stage's memory or slots, whichever is scarcer,
  /// that is in use with another request; 0 for the first one.
  [[nodiscard]] double Use(const Work& work, const StageLoad& load) const;
  /// Returns whether the stage has memory and a slot for another request.
  [[nodiscard]] bool Fits(const Work& work, const StageLoad& load) const;

 private:
  double step_ = 0;          ///< Seconds of a token step without load.
  double per_sequence_ = 0;  ///< Added seconds for each request.
  double per_token_ = 0;     ///< Added seconds for each token of context.
  double read_ = 0;          ///< Seconds to read a prompt token.
  double layers_ = 1;        ///< Layers of the model.
  double token_capacity_ = 0;
  double slots_ = 0;  ///< Requests that it takes from hosts; 0 if unlimited.
};

}  // namespace foxquay::relay

#endif  // FOXQUAY_RELAY_STAGE_COST_H_
