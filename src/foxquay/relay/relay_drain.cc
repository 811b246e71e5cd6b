// Requests that are still open when the host stops.
#include "foxquay/relay/relay.h"

namespace foxquay::relay {

bool Relay::Started(core::RequestId id) const {
  const State& state = requests_.at(id);
  return state.may_have_run || state.answer_begun || !state.hops.empty();
}

Decision Relay::EndForShutdown(core::RequestId id, core::Duration retry_after,
                               core::Instant now) {
  State& state = requests_.at(id);
  state.may_have_run = Started(id);
  return GiveUp(id, "host is shutting down", retry_after, now);
}

}  // namespace foxquay::relay
