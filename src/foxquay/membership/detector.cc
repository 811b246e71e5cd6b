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
  if (now - last_tick_ > kStallThreshold) {
    pending_.reset();
    table_.RestartSuspicions(now);
    next_period_ = now;
  }
  now_ = now;
  last_tick_ = now;
  Datagrams out;
  std::erase_if(relays_,
                [&](const auto& relay) { return relay.second.expiry <= now; });
  DeclareDead();
  SendIndirectProbes(out);
  if (now >= next_period_) StartPeriod(out);
  return out;
}

void Detector::DeclareDead() {
  for (const core::HostId& host : table_.HostsIn(MemberState::kSuspect)) {
    if (now_ - table_.Find(host)->since >= kSuspicionTimeout) {
      Declare(host, MemberState::kDead);
    }
  }
}

void Detector::Declare(const core::HostId& host, MemberState state) {
  schema::MemberUpdate update = table_.Find(host)->update;
  update.state = state;
  if (table_.Merge(update, now_)) changes_.push_back(std::move(update));
}

void Detector::SendIndirectProbes(Datagrams& out) {
  if (!pending_ || pending_->acked || pending_->indirect ||
      now_ - pending_->sent < kDirectProbeTimeout) {
    return;
  }
  pending_->indirect = true;
  std::vector<core::HostId> helpers = table_.HostsIn(MemberState::kAlive);
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

void Detector::StartPeriod(Datagrams& out) {
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
    pending_ =
        PendingProbe{*target, SendProbe(*target, out), now_, false, false};
  }
  // Every host that suspects another one probes it and thereby tells it of the
  // suspicion, so that the loss of a refutation does not lead to a false
  // declaration of death.
  const auto suspect = PickRandom(MemberState::kSuspect);
  if (suspect) SendProbe(*suspect, out);
  // Dead hosts are probed every other period to detect that a network partition
  // has healed.
  const auto dead = PickRandom(MemberState::kDead);
  if (dead && periods_ % 2 == 1) SendProbe(*dead, out);
}

std::optional<core::HostId> Detector::NextTarget() {
  for (int round = 0; round < 2; ++round) {
    while (!probe_order_.empty()) {
      core::HostId host = std::move(probe_order_.back());
      probe_order_.pop_back();
      if (table_.Find(host)->update.state == MemberState::kAlive) return host;
    }
    probe_order_ = table_.HostsIn(MemberState::kAlive);
    std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
  }
  return std::nullopt;
}

std::optional<core::HostId> Detector::PickRandom(MemberState state) {
  const std::vector<core::HostId> hosts = table_.HostsIn(state);
  if (hosts.empty()) return std::nullopt;
  return hosts[random_() % hosts.size()];
}

std::uint64_t Detector::SendProbe(const core::HostId& target, Datagrams& out) {
  schema::Probe probe;
  probe.sequence = next_sequence_++;
  Send(target, target, probe, out);
  return probe.sequence;
}

template <class Message>
void Detector::Send(const core::HostId& to, const core::HostId& about,
                    Message message, Datagrams& out) {
  const Member* receiver = table_.Find(to);
  if (receiver == nullptr) return;
  std::string address = receiver->update.address;
  message.updates.push_back(self_);
  const Member* subject = table_.Find(about);
  if (subject != nullptr && subject->update.incarnation > 0) {
    message.updates.push_back(subject->update);
  }
  table_.AppendUpdates(message.updates);
  out.push_back({to, std::move(address), std::move(message)});
}

std::vector<Datagram> Detector::Handle(const core::HostId& from,
                                       const schema::MembershipMessage& message,
                                       core::Instant now) {
  now_ = now;
  Datagrams out;
  std::visit(
      [&](const auto& content) {
        ApplyUpdates(content.updates);
        HandleMessage(from, content, out);
      },
      message);
  return out;
}

void Detector::ApplyUpdates(const std::vector<schema::MemberUpdate>& updates) {
  for (const schema::MemberUpdate& update : updates) {
    if (update.host == self_.host) {
      ApplyOwnUpdate(update);
    } else if (update.incarnation > 0 && update.state <= MemberState::kDead &&
               table_.Merge(update, now_)) {
      changes_.push_back(update);
    }
  }
}

void Detector::ApplyOwnUpdate(const schema::MemberUpdate& update) {
  if (update.incarnation > self_.incarnation) superseded_ = true;
  if (update.incarnation == self_.incarnation &&
      update.state != MemberState::kAlive && update.version >= self_.version) {
    self_.version = update.version + 1;
  }
}

void Detector::HandleMessage(const core::HostId& from,
                             const schema::Probe& probe, Datagrams& out) {
  schema::ProbeAck ack;
  ack.sequence = probe.sequence;
  Send(from, from, std::move(ack), out);
}

void Detector::HandleMessage(const core::HostId& from,
                             const schema::ProbeRequest& request,
                             Datagrams& out) {
  if (table_.Find(request.target) == nullptr) return;
  const std::uint64_t sequence = SendProbe(request.target, out);
  relays_[sequence] = {from, request.sequence, request.target,
                       now_ + kProbePeriod};
}

void Detector::HandleMessage(const core::HostId&, const schema::ProbeAck& ack,
                             Datagrams& out) {
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
    deadline = std::min(deadline, pending_->sent + kDirectProbeTimeout);
  }
  for (const auto& [host, member] : table_.members()) {
    if (member.update.state == MemberState::kSuspect) {
      deadline = std::min(deadline, member.since + kSuspicionTimeout);
    }
  }
  return deadline;
}

std::vector<schema::MemberUpdate> Detector::TakeChanges() {
  return std::exchange(changes_, {});
}

}  // namespace foxquay::membership
