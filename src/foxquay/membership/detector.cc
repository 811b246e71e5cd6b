#include "foxquay/membership/detector.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace foxquay::membership {

using schema::MemberState;

Detector::Detector(const DetectorOptions& options, core::Instant now)
    : self_{options.host,        options.incarnation, 0,
            MemberState::kAlive, options.address,     options.data_centre},
      random_(options.seed),
      now_(now),
      last_tick_(now),
      next_period_(now) {}

void Detector::AddPeer(const core::HostId& host, const std::string& address) {
  if (host == self_.host) return;
  table_.Merge({host, 0, 0, MemberState::kDead, address, {}}, now_);
}

std::vector<Datagram> Detector::Tick(core::Instant now) {
  if (now - last_tick_ > kFrozen) {
    pending_.reset();
    table_.RestartSuspicions(now);
    next_period_ = now;
  }
  now_ = now;
  last_tick_ = now;
  Out out;
  std::erase_if(relays_,
                [&](const auto& relay) { return relay.second.until <= now; });
  DeclareDead();
  RepeatIndirectly(out);
  if (now >= next_period_) StartPeriod(out);
  return out;
}

void Detector::DeclareDead() {
  for (const core::HostId& host : table_.In(MemberState::kSuspect)) {
    if (now_ - table_.Find(host)->since >= kSuspicion) {
      Declare(host, MemberState::kDead);
    }
  }
}

void Detector::Declare(const core::HostId& host, MemberState state) {
  schema::MemberUpdate update = table_.Find(host)->update;
  update.state = state;
  if (table_.Merge(update, now_)) changes_.push_back(std::move(update));
}

void Detector::RepeatIndirectly(Out& out) {
  if (!pending_ || pending_->acked || pending_->indirect ||
      now_ - pending_->sent < kDirectTimeout) {
    return;
  }
  pending_->indirect = true;
  std::vector<core::HostId> helpers = table_.In(MemberState::kAlive);
  std::erase(helpers, pending_->target);
  std::shuffle(helpers.begin(), helpers.end(), random_);
  if (helpers.size() > kIndirectProbes) helpers.resize(kIndirectProbes);
  for (const core::HostId& helper : helpers) {
    schema::ProbeRequest request;
    request.sequence = pending_->sequence;
    request.target = pending_->target;
    Send(helper, pending_->target, std::move(request), out);
  }
}

void Detector::StartPeriod(Out& out) {
  next_period_ = std::max(next_period_ + kProbePeriod, now_);
  ++periods_;
  if (pending_ && !pending_->acked) {
    const Member* member = table_.Find(pending_->target);
    if (member->update.state == MemberState::kAlive) {
      Declare(pending_->target, MemberState::kSuspect);
    }
  }
  pending_.reset();
  const auto target = NextTarget();
  if (target) {
    pending_ = Pending{*target, SendProbe(*target, out), now_, false, false};
  }
  // A suspect is told of the suspicion by everyone who holds it, so that a lost
  // refutation does not end in a false death.
  const auto suspect = PickOne(MemberState::kSuspect);
  if (suspect) SendProbe(*suspect, out);
  // A dead host is probed rarely, so that a healed partition is noticed.
  const auto dead = PickOne(MemberState::kDead);
  if (dead && periods_ % 2 == 1) SendProbe(*dead, out);
}

std::optional<core::HostId> Detector::NextTarget() {
  for (int round = 0; round < 2; ++round) {
    while (!round_.empty()) {
      core::HostId host = std::move(round_.back());
      round_.pop_back();
      if (table_.Find(host)->update.state == MemberState::kAlive) return host;
    }
    round_ = table_.In(MemberState::kAlive);
    std::shuffle(round_.begin(), round_.end(), random_);
  }
  return std::nullopt;
}

std::optional<core::HostId> Detector::PickOne(MemberState state) {
  const std::vector<core::HostId> hosts = table_.In(state);
  if (hosts.empty()) return std::nullopt;
  return hosts[random_() % hosts.size()];
}

std::uint64_t Detector::SendProbe(const core::HostId& target, Out& out) {
  schema::Probe probe;
  probe.sequence = next_sequence_++;
  Send(target, target, probe, out);
  return probe.sequence;
}

template <class Message>
void Detector::Send(const core::HostId& to, const core::HostId& about,
                    Message message, Out& out) {
  const Member* receiver = table_.Find(to);
  if (receiver == nullptr) return;
  std::string address = receiver->update.address;
  message.updates.push_back(self_);
  const Member* subject = table_.Find(about);
  if (subject != nullptr && subject->update.incarnation > 0) {
    message.updates.push_back(subject->update);
  }
  table_.Fill(message.updates);
  out.push_back({to, std::move(address), std::move(message)});
}

std::vector<Datagram> Detector::Handle(const core::HostId& from,
                                       const schema::MembershipMessage& message,
                                       core::Instant now) {
  now_ = now;
  Out out;
  std::visit(
      [&](const auto& content) {
        Learn(content.updates);
        Answer(from, content, out);
      },
      message);
  return out;
}

void Detector::Learn(const std::vector<schema::MemberUpdate>& updates) {
  for (const schema::MemberUpdate& update : updates) {
    if (update.host == self_.host) {
      LearnOfSelf(update);
    } else if (update.incarnation > 0 && update.state <= MemberState::kDead &&
               table_.Merge(update, now_)) {
      changes_.push_back(update);
    }
  }
}

void Detector::LearnOfSelf(const schema::MemberUpdate& update) {
  if (update.incarnation > self_.incarnation) superseded_ = true;
  if (update.incarnation == self_.incarnation &&
      update.state != MemberState::kAlive && update.version >= self_.version) {
    self_.version = update.version + 1;
  }
}

void Detector::Answer(const core::HostId& from, const schema::Probe& probe,
                      Out& out) {
  schema::ProbeAck ack;
  ack.sequence = probe.sequence;
  Send(from, from, std::move(ack), out);
}

void Detector::Answer(const core::HostId& from,
                      const schema::ProbeRequest& request, Out& out) {
  if (table_.Find(request.target) == nullptr) return;
  const std::uint64_t sequence = SendProbe(request.target, out);
  relays_[sequence] = {from, request.sequence, request.target,
                       now_ + kProbePeriod};
}

void Detector::Answer(const core::HostId&, const schema::ProbeAck& ack,
                      Out& out) {
  if (pending_ && pending_->sequence == ack.sequence) pending_->acked = true;
  const auto relay = relays_.find(ack.sequence);
  if (relay == relays_.end()) return;
  schema::ProbeAck forwarded;
  forwarded.sequence = relay->second.sequence;
  Send(relay->second.origin, relay->second.target, std::move(forwarded), out);
  relays_.erase(relay);
}

core::Instant Detector::NextDeadline() const {
  core::Instant deadline = next_period_;
  if (pending_ && !pending_->acked && !pending_->indirect) {
    deadline = std::min(deadline, pending_->sent + kDirectTimeout);
  }
  for (const auto& [host, member] : table_.members()) {
    if (member.update.state == MemberState::kSuspect) {
      deadline = std::min(deadline, member.since + kSuspicion);
    }
  }
  return deadline;
}

std::vector<schema::MemberUpdate> Detector::TakeChanges() {
  return std::exchange(changes_, {});
}

}  // namespace foxquay::membership
