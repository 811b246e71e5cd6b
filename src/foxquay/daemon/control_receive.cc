#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>
#include <variant>

#include "foxquay/daemon/clock.h"
#include "foxquay/daemon/control_node.h"
#include "foxquay/log/log.h"
#include "foxquay/schema/codec.h"
#include "foxquay/schema/sizes.h"

namespace foxquay::daemon {
namespace internal {

/// Minimum time between two log lines about messages that are too large.
constexpr core::Duration kOversizeLogInterval = std::chrono::seconds(1);

}  // namespace internal

void ControlNode::Send(const core::HostId& to,
                       const schema::PeerMessage& message) {
  core::Result<std::string> payload = schema::TryEncode(message);
  if (!payload) {
    RecordOversize(to, message.index());
    return;
  }
  message_stats_.RecordSent(message.index(), payload.value().size());
  links_.Send(to, std::move(payload).value());
}

/// Reports a message that no host could read.
void ControlNode::RecordOversize(const core::HostId& to, std::size_t kind) {
  Count("foxquay_peer_messages_oversize_total", "");
  const core::Instant now = Now();
  if (now < next_oversize_log_) return;
  next_oversize_log_ = now + internal::kOversizeLogInterval;
  log::Write(log::Level::kError, "peer_message_oversize",
             {{"to", to}, {"kind", std::string(MessageKindName(kind))}});
}

void ControlNode::SendPropose(const core::HostId& to,
                              schema::ProposeRequest request) {
  if (to != self_) {
    // A leader that cannot read the command would close the connection.
    const std::size_t limit = replica_ ? replica_->replica().MaxCommandBytes()
                                       : schema::kBasicCommandBytes;
    if (request.command.size() <= limit) Send(to, std::move(request));
    return;
  }
  boost::asio::post(context_, [this, request = std::move(request)] {
    AnswerPropose(self_, request);
  });
}

void ControlNode::AnswerPropose(const core::HostId& to,
                                const schema::ProposeRequest& request) {
  schema::ProposeReply reply;
  reply.incarnation = request.incarnation;
  reply.number = request.number;
  const auto answer = [this, to](schema::ProposeReply done) {
    done.leader = KnownLeader();
    if (to == self_) {
      proposer_.HandleReply(done, Now());
    } else {
      Send(to, std::move(done));
    }
  };
  if (!replica_) {
    answer(std::move(reply));
    return;
  }
  replica_->Propose(
      request.command, WallNow(), Now(),
      [answer, reply](const core::Result<schema::ControlResult>& result) {
        schema::ProposeReply done = reply;
        done.committed = result.has_value();
        if (result) done.result = result.value();
        answer(std::move(done));
      });
}

void ControlNode::Receive(schema::Envelope envelope) {
  auto message = schema::Decode<schema::PeerMessage>(envelope.payload);
  if (!message) {
    Count("foxquay_peer_messages_malformed_total", "");
    log::Write(log::Level::kWarn, "peer_message_malformed",
               {{"host", envelope.sender}, {"bytes", envelope.payload.size()}});
    return;
  }
  const bool follows =
      std::holds_alternative<schema::FollowerPoll>(message.value());
  if (!follows) ContactUnknownSender(envelope.sender);
  const std::size_t kind = message.value().index();
  const core::Instant started = Now();
  std::visit([&](auto& content) { On(envelope, std::move(content)); },
             message.value());
  message_stats_.RecordReceived(kind, envelope.payload.size(), Now() - started);
}

/// Sets the address of a host that is named by its IP address; returns false if
/// it is not.
bool ControlNode::SetLink(const core::HostId& host) {
  const std::string& own = settings_.listeners.peer;
  const std::string address = host.value() + own.substr(own.rfind(':'));
  const std::error_code error = links_.SetPeer(host, address);
  if (!error) return true;
  log::Write(log::Level::kWarn, "peer_unnamed",
             {{"host", host}, {"error", error.message()}});
  return false;
}

/// Answers a sender that is not known yet. A host that has just started knows
/// only the hosts that it started with. With seeds, the ID of a host is its IP
/// address, so the address of the sender follows from its ID.
void ControlNode::ContactUnknownSender(const core::HostId& sender) {
  if (!uses_seeds() || parent_ || sender == self_) return;
  if (hosts_.Contains(sender) || !contacted_.insert(sender).second) return;
  if (!SetLink(sender)) return;
  Send(sender, hosts_.ListAlive(uses_seeds(), Now()));
}

void ControlNode::On(const schema::Envelope&,
                     schema::ConsensusMessage message) {
  if (!replica_) return;
  replica_->Handle(consensus::Received{std::move(message)}, Now());
}

std::optional<schema::ConfigReply> ControlNode::AnswerConfig(
    const core::HostId& sender, const schema::ConfigPoll& poll,
    std::size_t max_content, core::Instant now) {
  std::optional<schema::ConfigReply> reply;
  if (replica_ && replica_->leads()) {
    last_config_poll_[sender] = now;
    reply = replica_->Answer(poll, now, max_content);
  }
  if (reply) return reply;
  // The leader's last heartbeat confirms more than the last own poll of it.
  if (now - synced_at_ >= kControlTick) SyncObserver();
  return observer_.Answer(poll, now, max_content);
}

void ControlNode::RecordContent(const core::HostId& host, std::uint64_t version,
                                std::size_t bytes, core::Instant started) {
  const core::Instant now = Now();
  content_share_.RecordSent(host, version, bytes, now - started, now);
}

void ControlNode::On(const schema::Envelope& from,
                     const schema::ConfigPoll& poll) {
  if (uses_seeds() && !hosts_.IsControl(from.sender)) {
    QueuePoll(from, poll);
  } else {
    AnswerConfigPoll(from.sender, poll, Now());
  }
}

void ControlNode::AnswerConfigPoll(const core::HostId& sender,
                                   const schema::ConfigPoll& poll,
                                   core::Instant now) {
  const bool follows = !uses_seeds() || hosts_.IsControl(sender);
  const std::size_t max_content =
      content_share_.Allowed(sender, poll.fleet_version, now, follows);
  auto reply = AnswerConfig(sender, poll, max_content, now);
  if (!reply) return;
  const std::uint64_t version = reply->fleet_version;
  const std::size_t content = reply->fleet.size();
  // A host that follows another control host is known from its feed only.
  const bool linked = !uses_seeds() || SetLink(sender);
  if (linked) Send(sender, *std::move(reply));
  RecordContent(sender, version, content, now);
}

void ControlNode::On(const schema::Envelope& from,
                     const schema::ConfigReply& reply) {
  const core::Instant now = Now();
  if (observer_.HandleReply(reply)) PublishPolicy();
  PublishAdmission(now);
  if (parent_) RecordReply(from.sender, &reply, now);
}

void ControlNode::On(const schema::Envelope& from,
                     const schema::RosterPoll& poll) {
  // With seeds, only control hosts poll like this, and all of them each other.
  const core::Duration relay_delay =
      uses_seeds() ? roster::kRelayDelay : core::Duration::zero();
  const core::Instant now = Now();
  spread_.Record(from.sender, poll);
  AnswerLeaves(now);
  Send(from.sender, roster_.Answer(poll, now, relay_delay));
}

void ControlNode::On(const schema::Envelope& from,
                     const schema::HeardHosts& heard) {
  if (!parent_) roster_.Renew(from.sender, heard, Now());
}

void ControlNode::On(const schema::Envelope&,
                     const schema::RosterReply& reply) {
  const core::Instant now = Now();
  roster_.Apply(reply, now);
  PublishRoster(now);
}

void ControlNode::On(const schema::Envelope& from,
                     const schema::ProposeRequest& request) {
  AnswerPropose(from.sender, request);
}

void ControlNode::On(const schema::Envelope&,
                     const schema::ProposeReply& reply) {
  proposer_.HandleReply(reply, Now());
}

void ControlNode::On(const schema::Envelope& from,
                     const schema::InForceRequest& request) {
  schema::InForceReply reply;
  reply.incarnation = request.incarnation;
  reply.number = request.number;
  const auto answer =
      replica_ ? replica_->CheckInForce(request.sequence, Now()) : std::nullopt;
  reply.known = answer.has_value();
  if (answer) {
    reply.in_force = answer->in_force;
    reply.waiting = answer->waiting;
    reply.expired = answer->expired;
  }
  Send(from.sender, std::move(reply));
}

void ControlNode::On(const schema::Envelope&,
                     const schema::InForceReply& reply) {
  if (reply.incarnation != incarnation_) return;
  const auto found = in_force_checks_.find(reply.number);
  if (found == in_force_checks_.end()) return;
  const InForceDone done = std::move(found->second.done);
  in_force_checks_.erase(found);
  if (!reply.known) {
    done(make_error_code(core::Error::kUnavailable));
    return;
  }
  done(control::InForce{reply.in_force, reply.waiting, reply.expired});
}

void ControlNode::On(const schema::Envelope& from,
                     const schema::HostReport& report) {
  const core::Instant now = Now();
  hosts_.HandleReport(from.sender, from.incarnation, report, now);
  if (uses_seeds()) {
    control_requests_[from.sender] = {now, report.open_requests};
  }
  // Hosts without a replica report no leader, since they could pass on an
  // outdated one. An isolated former leader still reports itself, with its
  // lower term.
  if (report.leader.empty() || report.term < leader_term_) return;
  leader_term_ = report.term;
  proposer_.SetLeader(report.leader);
}

/// Returns whether to send the host list to a control host: it does not list
/// this host and has not been sent the list within kGossipInterval. If so,
/// records the time.
bool ControlNode::NeedsHostList(const core::HostId& sender,
                                const schema::HostList& list,
                                core::Instant now) {
  if (!hosts_.IsControl(sender)) return false;
  const bool listed = std::any_of(
      list.hosts.begin(), list.hosts.end(),
      [this](const schema::HostAddress& host) { return host.id == self_; });
  core::Instant& last_sent = host_list_sent_[sender];
  if (listed || now - last_sent < kGossipInterval) return false;
  last_sent = now;
  return true;
}

bool ControlNode::AddPeer(const schema::HostAddress& address) {
  if (const auto error = links_.SetPeer(address.id, address.peer)) {
    log::Write(log::Level::kWarn, "peer_unnamed",
               {{"host", address.id}, {"error", error.message()}});
    return false;
  }
  if (std::find(peers_.begin(), peers_.end(), address.id) != peers_.end()) {
    return false;
  }
  peers_.push_back(address.id);
  log::Write(log::Level::kInfo, "host_joined",
             {{"host", address.id}, {"address", address.peer}});
  return true;
}

void ControlNode::On(const schema::Envelope& from,
                     const schema::HostList& list) {
  if (parent_) return;
  const core::Instant now = Now();
  bool joined = false;
  for (const schema::HostAddress& address : list.hosts) {
    if (uses_seeds() && !address.control) continue;
    if (hosts_.HandleAddress(address, now) && AddPeer(address)) joined = true;
  }
  if (joined || NeedsHostList(from.sender, list, now)) {
    Send(from.sender, hosts_.ListAlive(uses_seeds(), now));
  }
}

}  // namespace foxquay::daemon
