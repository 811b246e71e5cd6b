#include "foxquay/relay/budget.h"

#include <algorithm>

namespace foxquay::relay {
namespace internal {

/// Part of the bound that is used: requests that age out of the window while
/// their repeats remain must not take the sum over it.
constexpr double kUsedPart = 0.8;

/// Part of the slack that is used in the first window after a start; the former
/// process may have used the other part in the same window.
constexpr double kFreshPart = 1 - kUsedPart;

/// Time after a start in which a host hears of all others.
constexpr core::Duration kLearnTime = std::chrono::seconds(3);

/// Hosts assumed before any other is known.
constexpr std::size_t kAssumedHosts = 8;

}  // namespace internal

void RepeatBudget::SetHosts(std::size_t hosts, core::Instant now) {
  hosts = std::max<std::size_t>(hosts, 1);
  if (hosts >= hosts_) {
    hosts_ = hosts;
    fewer_hosts_ = 0;
    return;
  }
  if (fewer_hosts_ != hosts) {
    fewer_hosts_ = hosts;
    fewer_since_ = now;
  } else if (now - fewer_since_ >= options_.window) {
    hosts_ = hosts;
  }
}

void RepeatBudget::DropOld(Counts& counts, core::Instant now) const {
  const auto drop = [&](std::deque<core::Instant>& times) {
    while (!times.empty() && now - times.front() >= options_.window) {
      times.pop_front();
    }
  };
  drop(counts.requests);
  drop(counts.repeats);
}

void RepeatBudget::NoteRequest(const core::ServiceId& service,
                               core::Instant now) {
  Counts& counts = services_[service];
  DropOld(counts, now);
  counts.requests.push_back(now);
}

double RepeatBudget::SlackPart(core::Instant now) const {
  if (!started_ || now - *started_ >= options_.window) {
    return internal::kUsedPart;
  }
  return now - *started_ < internal::kLearnTime ? 0 : internal::kFreshPart;
}

bool RepeatBudget::HasRoom(const core::ServiceId& service, core::Instant now) {
  Counts& counts = services_[service];
  DropOld(counts, now);
  const std::size_t hosts = hosts_ == 0 ? internal::kAssumedHosts : hosts_;
  const double bound =
      internal::kUsedPart * options_.ratio *
          static_cast<double>(counts.requests.size()) +
      SlackPart(now) * options_.slack / static_cast<double>(hosts);
  return static_cast<double>(counts.repeats.size()) + 1 <= bound;
}

bool RepeatBudget::TakeRepeat(const core::ServiceId& service,
                              core::Instant now) {
  if (!HasRoom(service, now)) return false;
  services_[service].repeats.push_back(now);
  return true;
}

}  // namespace foxquay::relay
