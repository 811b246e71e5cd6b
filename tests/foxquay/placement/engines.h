#ifndef FOXQUAY_TESTS_FOXQUAY_PLACEMENT_ENGINES_H_
#define FOXQUAY_TESTS_FOXQUAY_PLACEMENT_ENGINES_H_

#include "foxquay/schema/fleet.h"

namespace foxquay::placement {

/// Returns an engine with 80 layers and two kinds of accelerators.
inline schema::Engine MakeEngine() {
  schema::Engine engine;
  engine.slots = 192;
  engine.layers = 80;
  engine.layer_mb = 1750;
  engine.token_memory_mb = 0.426;
  engine.step = std::chrono::microseconds(850);
  engine.load = std::chrono::seconds(14);
  engine.prefill_per_s = 272000;
  engine.usual_prompt = 772;
  engine.usual_answer = 150;
  engine.accelerators = {{"large", 36000, 3.1, 3.2}, {"small", 14400, 15, 15}};
  return engine;
}

}  // namespace foxquay::placement

#endif  // FOXQUAY_TESTS_FOXQUAY_PLACEMENT_ENGINES_H_
