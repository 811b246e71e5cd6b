#include "followed_fleet.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <utility>

#include "foxquay/schema/codec.h"

namespace foxquay::control {
namespace internal {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr core::Duration kStep = milliseconds(1);
constexpr core::Duration kDelay = milliseconds(1);
/// Time that a control host of 0.075 cores takes for a poll, without content.
constexpr core::Duration kPollTime = microseconds(1500);
/// Time that it takes for each byte, once to make and sign a reply, and once to
/// send it.
constexpr core::Duration kByteTime = nanoseconds(13);
/// Nine tenths of the shortest time to a revocation.
constexpr core::Duration kLease = milliseconds(4500);
constexpr core::Duration kAge = milliseconds(100);
constexpr core::Duration kHostTick = membership::kFollowInterval / 5;
constexpr std::size_t kFirstBytes = 35'000;

std::string RandomContent(std::size_t bytes, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::string content(bytes, '\0');
  for (char& byte : content) byte = static_cast<char>(random());
  return content;
}

}  // namespace internal

FollowedFleet::FollowedFleet(const FollowedFleetOptions& options)
    : options_(options), controls_(options.controls) {
  std::vector<membership::ParentCandidate> candidates;
  for (std::size_t index = 0; index < options.controls; ++index) {
    candidates.push_back({core::HostId(std::to_string(index)), false});
  }
  for (std::size_t index = 0; index < options.hosts; ++index) {
    const core::HostId id("host-" + std::to_string(index));
    hosts_.push_back({Observer(id, 1, internal::kLease, false),
                      membership::ParentSelector(id), std::nullopt, false});
    hosts_.back().selector.SetCandidates(candidates);
    hosts_.back().selector.SetFollowers(options.hosts);
  }
  const std::size_t size =
      std::exchange(options_.content_bytes, internal::kFirstBytes);
  Put();
  options_.content_bytes = size;
}

void FollowedFleet::Put() {
  content_ = internal::RandomContent(options_.content_bytes, version_ + 1);
  sent_bytes_ = 0;
  largest_age_ = {};
  Commit();
}

void FollowedFleet::Change() {
  const std::size_t at = std::mt19937_64(version_)() % content_.size();
  content_[at] = static_cast<char>(content_[at] + 1);
  Commit();
}

void FollowedFleet::Commit() {
  ++version_;
  schema::PutFleet command;
  command.version = version_;
  command.fleet = content_;
  const std::string encoded = schema::Encode(schema::ControlCommand(command));
  for (Control& control : controls_) {
    control.state.Apply(version_, core::WallTime(), encoded);
  }
  for (Host& host : hosts_) host.applied.reset();
  put_at_ = now_;
}

void FollowedFleet::Run(core::Duration end) {
  while (now_ < end) {
    now_ += internal::kStep;
    Deliver();
    for (std::size_t index = 0; index < hosts_.size(); ++index) {
      // Their timers are spread.
      const auto step =
          now_ / internal::kStep + static_cast<std::int64_t>(index) * 7;
      if (step % (internal::kHostTick / internal::kStep) == 0) Poll(index);
    }
    for (std::size_t index = 0; index < controls_.size(); ++index) {
      Handle(index);
    }
  }
}

void FollowedFleet::Poll(std::size_t host) {
  Host& polling = hosts_[host];
  if (polling.observer.confirmed()) {
    const bool open =
        polling.observer.Admit(Now()).state == AdmissionState::kOpen;
    polling.expired = polling.expired || !open;
    largest_age_ =
        std::max(largest_age_, Now() - *polling.observer.confirmed());
  }
  for (const core::HostId& to : polling.selector.Due(Now())) {
    const bool follows = polling.selector.parent() == to;
    if (!follows && !polling.observer.confirmed()) continue;
    Control& control = controls_[std::stoul(to.value())];
    const schema::ConfigPoll poll = polling.observer.StartPoll(Now());
    if (control.stopped) continue;
    control.queue.push_back({host, poll, follows, now_ + internal::kDelay});
  }
}

void FollowedFleet::Handle(std::size_t index) {
  Control& control = controls_[index];
  if (control.stopped) return;
  while (!control.queue.empty() && control.free_at <= now_ &&
         control.queue.front().arrived <= now_) {
    const Message message = std::move(control.queue.front());
    control.queue.pop_front();
    longest_wait_ = std::max(longest_wait_, now_ - message.arrived);
    const core::HostId& host = message.poll.host;
    const std::size_t max_content = control.share.Allowed(
        host, message.poll.fleet_version, Now(), message.follows);
    schema::ConfigReply reply =
        control.state.Answer(message.poll, internal::kAge, max_content);
    const std::size_t bytes = reply.fleet.size();
    const core::Duration made =
        core::Scale(internal::kPollTime + internal::kByteTime * bytes,
                    1 / (1 - options_.other_work));
    const core::Duration written =
        core::Scale(internal::kByteTime * bytes, 1 / (1 - options_.other_work));
    control.free_at = std::max(control.free_at, now_) + made + written;
    control.share.RecordSent(host, reply.fleet_version, bytes, made,
                             Now() + made);
    sent_bytes_ += bytes;
    replies_.push_back({control.free_at + internal::kDelay, message.host, index,
                        std::move(reply)});
  }
}

void FollowedFleet::Deliver() {
  std::deque<Reply> later;
  for (Reply& reply : std::exchange(replies_, {})) {
    if (reply.at > now_) {
      later.push_back(std::move(reply));
      continue;
    }
    Host& host = hosts_[reply.host];
    const core::Duration age = reply.content.age;
    (void)host.observer.HandleReply(reply.content);
    if (!host.applied && host.observer.fleet_version() == version_) {
      host.applied = now_;
    }
    const auto& confirmed = host.observer.confirmed();
    const bool lacks = host.observer.fleet_version() < version_;
    if (lacks && confirmed && *confirmed > core::Instant(put_at_)) {
      ++false_confirmations_;
    }
    host.selector.HandleReply(core::HostId(std::to_string(reply.control)), age,
                              Now());
  }
  replies_.insert(replies_.begin(), std::make_move_iterator(later.begin()),
                  std::make_move_iterator(later.end()));
}

std::optional<core::Duration> FollowedFleet::InForce() const {
  core::Duration last{};
  for (const Host& host : hosts_) {
    if (!host.applied) return std::nullopt;
    last = std::max(last, *host.applied);
  }
  return last - put_at_;
}

std::size_t FollowedFleet::expired() const {
  return static_cast<std::size_t>(
      std::count_if(hosts_.begin(), hosts_.end(),
                    [](const Host& host) { return host.expired; }));
}

}  // namespace foxquay::control
