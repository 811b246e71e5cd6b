// Streams of which the caller has a part, while they are sent again.
#include <algorithm>

#include "foxquay/relay/relay.h"

namespace foxquay::relay {
namespace internal {

/// Sends without an event that follow each other at once: upstreams that turn
/// requests away are told from those that take them with few sends.
constexpr unsigned kImmediateResumes = 3;

/// First pause between further sends, doubled with each; about the time in
/// which a place becomes free at a full upstream.
constexpr core::Duration kMinResumePause = std::chrono::milliseconds(100);

/// Doublings of the pause. The longest pause is below the time that callers
/// wait between two events on the routes with the longest one.
constexpr unsigned kMaxResumeDoublings = 4;

}  // namespace internal

bool Relay::Repeatable(const schema::Route& route) {
  return route.kind == schema::RequestKind::kRepeatable ||
         (route.kind == schema::RequestKind::kStream && route.resumable);
}

bool Relay::Resumes(const State& state) {
  return state.answer_begun && Repeatable(*state.context.route);
}

void Relay::DelayResume(State& state, core::Instant now) {
  ++state.fruitless;
  if (state.fruitless > internal::kImmediateResumes) PauseResume(state, now);
}

void Relay::PauseResume(State& state, core::Instant now) {
  const unsigned paused =
      state.fruitless - std::min(state.fruitless, internal::kImmediateResumes);
  const unsigned doublings =
      std::min(paused - std::min(paused, 1U), internal::kMaxResumeDoublings);
  state.next_send =
      now + AddJitter(internal::kMinResumePause * (1U << doublings));
  state.partners_tried.clear();
}

}  // namespace foxquay::relay
