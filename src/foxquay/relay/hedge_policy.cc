#include "foxquay/relay/hedge_policy.h"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <cmath>
#include <vector>

namespace foxquay::relay {
namespace internal {

/// Answers of a service that are kept: enough for the smallest useful limit of
/// one second send in a hundred requests at two or three upstreams.
constexpr std::size_t kMaxAnswers = 256;

/// Age up to which answers count; a host of a large fleet gets few requests for
/// one service a second.
constexpr core::Duration kMaxAnswerAge = std::chrono::seconds(30);

/// Answers below which a quantile is not told from chance.
constexpr double kMinAnswers = 20;

/// Part of the target latency before which no request counts as slow: its
/// caller is still served in time.
constexpr double kMinDelayOfTarget = 0.25;

/// Second sends that a host may save up. All hosts together exceed the limit
/// within a window by no more than this for each host.
constexpr double kMaxCredit = 2;

/// Time constant of the mean of open requests.
constexpr std::chrono::duration<double> kOpenMemory{1.0};

/// Part of the slots above which requests wait for one even if they are spread
/// evenly.
constexpr double kRoomFraction = 0.7;

}  // namespace internal

const char* Name(HedgeDenial denial) noexcept {
  switch (denial) {
    case HedgeDenial::kAnswers:
      return "answers";
    case HedgeDenial::kDeadline:
      return "deadline";
    case HedgeDenial::kAttempts:
      return "attempts";
    case HedgeDenial::kRoom:
      return "room";
    case HedgeDenial::kUpstream:
      return "upstream";
    case HedgeDenial::kLimit:
      return "limit";
    case HedgeDenial::kBudget:
      return "budget";
  }
  return "";
}

void HedgePolicy::CountRequest(const core::ServiceId& service) {
  if (!enabled()) return;
  double& credit = services_[service].credit;
  credit = std::min(internal::kMaxCredit, credit + options_.ratio);
}

void HedgePolicy::RecordAnswer(const core::ServiceId& service,
                               const core::UpstreamId& upstream,
                               core::Duration time, core::Instant now) {
  if (!enabled()) return;
  std::deque<Answer>& answers = services_[service].answers;
  if (answers.size() >= internal::kMaxAnswers) answers.pop_front();
  answers.push_back({upstream, time, now});
}

void HedgePolicy::RecordOpen(const std::map<core::ServiceId, std::size_t>& open,
                             core::Instant now) {
  const auto elapsed =
      open_recorded_at_
          ? std::chrono::duration<double>(now - *open_recorded_at_)
          : std::chrono::duration<double>::zero();
  open_recorded_at_ = now;
  const double weight = 1 - std::exp(-(elapsed / internal::kOpenMemory));
  for (auto& [service, account] : services_) {
    const auto found = open.find(service);
    const double current =
        found == open.end() ? 0 : static_cast<double>(found->second);
    account.mean_open += weight * (current - account.mean_open);
  }
}

std::optional<core::Duration> HedgePolicy::Delay(
    const core::ServiceId& service, const core::UpstreamId& upstream,
    core::Duration target_latency, core::Instant now) const {
  const auto found = services_.find(service);
  if (found == services_.end() || !enabled()) return std::nullopt;
  std::vector<core::Duration> times;
  for (const Answer& answer : found->second.answers) {
    const bool recent = now - answer.at < internal::kMaxAnswerAge;
    if (recent && answer.upstream != upstream) times.push_back(answer.time);
  }
  const double count = static_cast<double>(times.size());
  // One answer at least lies above the quantile.
  if (count < std::max(internal::kMinAnswers, 1 / options_.ratio)) {
    return std::nullopt;
  }
  const auto rank = static_cast<std::ptrdiff_t>(
      std::min(count - 1, std::floor(count * (1 - options_.ratio))));
  std::nth_element(times.begin(), times.begin() + rank, times.end());
  return std::max(times[static_cast<std::size_t>(rank)],
                  core::Scale(target_latency, internal::kMinDelayOfTarget));
}

bool HedgePolicy::NearRoom(const core::ServiceId& service,
                           const ServiceRoom& room, std::size_t hosts) const {
  if (2 * room.accepting <= room.upstreams) return true;
  const auto found = services_.find(service);
  const double open = found == services_.end() ? 0 : found->second.mean_open;
  return open * static_cast<double>(hosts) >
         internal::kRoomFraction * static_cast<double>(room.slots);
}

bool HedgePolicy::HasCredit(const core::ServiceId& service) const {
  const auto found = services_.find(service);
  return found != services_.end() && found->second.credit >= 1;
}

void HedgePolicy::Spend(const core::ServiceId& service) {
  assert(HasCredit(service) && "a second send needs credit");
  services_[service].credit -= 1;
}

}  // namespace foxquay::relay
