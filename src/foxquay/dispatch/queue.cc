#include "foxquay/dispatch/queue.h"

#include <algorithm>
#include <chrono>

namespace foxquay::dispatch {
namespace internal {

constexpr core::Duration kRetryAfter = std::chrono::seconds(1);

}  // namespace internal

Queue::Queue([[maybe_unused]] std::uint64_t seed) { Configure(Policy(), ""); }

void Queue::Configure(const Policy& policy, const std::string& host) {
  PolicyScope scope;
  scope.host = host;
  max_requests_ = static_cast<std::size_t>(
      policy.Get(schema::PolicyKey::kQueueMaxRequests, scope));
}

std::optional<Refusal> Queue::Admit(const Waiting& waiting, core::Instant now) {
  if (waiting_.size() < max_requests_) return std::nullopt;
  return Refusal{"queue is full", RetryAfter(waiting.pool, now)};
}

void Queue::Push(const Waiting& waiting, [[maybe_unused]] core::Instant now) {
  const auto place = waiting_.insert(
      waiting.resumed ? waiting_.begin() : waiting_.end(), waiting);
  places_[waiting.request] = place;
}

void Queue::Remove(core::RequestId request) {
  const auto found = places_.find(request);
  if (found == places_.end()) return;
  waiting_.erase(found->second);
  places_.erase(found);
}

std::optional<Waiting> Queue::Take(
    const std::function<bool(const Waiting&)>& runnable,
    [[maybe_unused]] core::Instant now) {
  const auto found = std::find_if(waiting_.begin(), waiting_.end(), runnable);
  if (found == waiting_.end()) return std::nullopt;
  Waiting taken = *found;
  Remove(taken.request);
  return taken;
}

void Queue::Complete([[maybe_unused]] const Served& served,
                     [[maybe_unused]] core::Instant now) {}

bool Queue::AllowRetry([[maybe_unused]] const core::WorkspaceId& workspace,
                       [[maybe_unused]] core::Instant now) {
  return true;
}

core::Duration Queue::RetryAfter([[maybe_unused]] const std::string& pool,
                                 [[maybe_unused]] core::Instant now) {
  return internal::kRetryAfter;
}

}  // namespace foxquay::dispatch
