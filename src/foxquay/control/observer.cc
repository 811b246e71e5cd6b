#include "foxquay/control/observer.h"

#include <algorithm>
#include <utility>

#include "foxquay/control/state.h"

namespace foxquay::control {
namespace internal {

// With one poll every 250 ms, a poll is dropped after 8 s. A reply to it could
// no longer extend the lease.
constexpr std::size_t kMaxOpenPolls = 32;

}  // namespace internal

Observer::Observer(core::HostId host, std::uint64_t incarnation,
                   core::Duration lease, bool requires_registration)
    : host_(std::move(host)),
      incarnation_(incarnation),
      lease_(lease),
      requires_registration_(requires_registration) {}

void Observer::SetIncarnation(std::uint64_t incarnation) {
  incarnation_ = incarnation;
  open_polls_.clear();
}

schema::ConfigPoll Observer::StartPoll(core::Instant now) {
  open_polls_.emplace_back(next_poll_, now);
  if (open_polls_.size() > internal::kMaxOpenPolls) open_polls_.pop_front();
  return MakePoll(next_poll_++);
}

schema::ConfigPoll Observer::MakePoll(std::uint64_t number) const {
  const std::uint64_t fleet = needs_whole_fleet_ ? 0 : fleet_version_;
  return {host_, incarnation_,        number, config_.sequence(),
          fleet, quarantines_.version};
}

bool Observer::HasAll(const schema::ConfigReply& reply) const {
  return config_.sequence() >= reply.sequence &&
         fleet_version_ >= reply.fleet_version &&
         quarantines_.version >= reply.quarantine_version;
}

bool Observer::HandleReply(const schema::ConfigReply& reply) {
  if (reply.incarnation != incarnation_) return false;
  const auto poll =
      std::find_if(open_polls_.begin(), open_polls_.end(),
                   [&](const auto& open) { return open.first == reply.poll; });
  if (poll == open_polls_.end()) return false;
  const core::Instant sent = poll->second;
  open_polls_.erase(poll);
  const bool changed = ApplyReply(reply);
  if (HasAll(reply) && reply.age >= core::Duration::zero()) {
    Confirm(sent - core::WithClockError(reply.age));
  }
  return changed;
}

bool Observer::ApplyReply(const schema::ConfigReply& reply) {
  const std::uint64_t before = config_.sequence();
  if (reply.snapshot && reply.snapshot->sequence > before) {
    config_ = Config(*reply.snapshot);
  }
  for (const schema::ConfigEntry& entry : reply.entries) {
    if (config_.Apply(entry)) feed_.Append(entry);
  }
  const std::uint64_t fleet_before = fleet_version_;
  // A change for a version that another reply has replaced is out of date.
  const bool fits = reply.fleet_base == 0 || reply.fleet_base == fleet_version_;
  if (reply.fleet_version > fleet_version_ && !reply.fleet.empty() && fits) {
    auto fleet = ReadFleet(reply, fleet_version_, fleet_);
    needs_whole_fleet_ = !fleet;
    if (fleet) {
      if (reply.fleet_base == 0) {
        fleet_history_.Add(fleet_version_, fleet_, *fleet);
      } else {
        fleet_history_.Add(reply);
      }
      fleet_version_ = reply.fleet_version;
      fleet_ = *std::move(fleet);
    }
  }
  const std::uint64_t quarantines_before = quarantines_.version;
  if (reply.quarantines && reply.quarantines->version > quarantines_before) {
    quarantines_ = *reply.quarantines;
  }
  return config_.sequence() != before || fleet_version_ != fleet_before ||
         quarantines_.version != quarantines_before;
}

void Observer::Confirm(core::Instant at) {
  confirmed_ = confirmed_ ? std::max(*confirmed_, at) : at;
}

bool Observer::Sync(const State& state, std::optional<core::Duration> age,
                    core::Instant now) {
  const schema::ConfigReply reply =
      state.Answer(MakePoll(0), age.value_or(core::Duration::zero()));
  const bool changed = ApplyReply(reply);
  if (age && HasAll(reply)) Confirm(now - core::WithClockError(*age));
  return changed;
}

std::optional<schema::ConfigReply> Observer::Answer(
    const schema::ConfigPoll& poll, core::Instant now,
    std::size_t max_content) const {
  if (!confirmed_) return std::nullopt;
  schema::ConfigReply reply = feed_.Answer(config_, poll, now - *confirmed_);
  reply.fleet_version = fleet_version_;
  if (poll.fleet_version < fleet_version_ && !reply.snapshot) {
    fleet_history_.Write(fleet_, poll.fleet_version, reply, max_content);
  }
  reply.quarantine_version = quarantines_.version;
  if (poll.quarantine_version < quarantines_.version) {
    reply.quarantines = quarantines_;
  }
  return reply;
}

Admission Observer::Admit(core::Instant now) const {
  const std::optional<core::Instant> end = LeaseEnd();
  if (!end || now >= *end) return {AdmissionState::kNoLease, {}};
  if (requires_registration_ && !config_.Live(host_, incarnation_)) {
    return {AdmissionState::kNotRegistered, {}};
  }
  return {AdmissionState::kOpen, *end};
}

std::optional<core::Instant> Observer::LeaseEnd() const noexcept {
  if (!confirmed_) return std::nullopt;
  return *confirmed_ + lease_;
}

}  // namespace foxquay::control
