// Hosts that follow a control host, and the states of hosts that result.
#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>
#include <variant>

#include "foxquay/daemon/clock.h"
#include "foxquay/daemon/control_node.h"
#include "foxquay/log/log.h"
#include "foxquay/schema/codec.h"
#include "foxquay/schema/sizes.h"

namespace foxquay::daemon {
namespace internal {

/// Time without a confirmation of the configuration after which a control host
/// refuses announcements. Longer than an election.
constexpr core::Duration kCutOffTime = std::chrono::milliseconds(2000);

/// Returns whether a reply is short enough for every build. What goes with the
/// content of a configuration is small but for the feeds of a host that has
/// just started.
bool FitsMessage(const schema::FollowerReply& reply) {
  constexpr std::size_t kMostItemBytes = 1024;
  std::size_t items = reply.limits.size() + reply.leaves.size();
  for (const schema::FeedUpdate& feed : reply.roster.feeds) {
    items += feed.changes.size() + feed.hosts.size();
  }
  const std::size_t estimate =
      reply.config->fleet.size() + items * kMostItemBytes;
  if (estimate < schema::kBasicMessageBytes / 2) return true;
  const auto encoded = schema::TryEncode(schema::PeerMessage(reply));
  return encoded && encoded.value().size() <= schema::kBasicMessageBytes;
}

}  // namespace internal

schema::HostAddress ControlNode::OwnAddress() const {
  const HostView own = hosts_.Own();
  return {self_,           observer_.incarnation(),
          own.peer,        own.caller,
          own.data_centre, own.region,
          own.control,     own.partner};
}

void ControlNode::UpdateParentCandidates() {
  if (!parent_) return;
  std::vector<membership::ParentCandidate> candidates;
  std::size_t followers = 0;
  for (const HostView& view : hosts_.Views(Now())) {
    if (!view.control) {
      ++followers;
      continue;
    }
    const bool near = view.data_centre == settings_.host.data_centre;
    candidates.push_back({view.id, near});
    if (const auto error = links_.SetPeer(view.id, view.peer)) {
      log::Write(log::Level::kWarn, "peer_unnamed",
                 {{"host", view.id}, {"error", error.message()}});
    }
  }
  const std::size_t controls = candidates.size();
  std::vector<core::HostId> control_hosts;
  control_hosts.reserve(controls);
  for (const membership::ParentCandidate& candidate : candidates) {
    control_hosts.push_back(candidate.host);
  }
  outage_.SetControls(control_hosts, settings_.join.tolerated_losses);
  parent_->SetCandidates(std::move(candidates));
  parent_->SetFollowers(followers);
  const core::Duration age = membership::MaxConfigurationAge(
      followers, controls, settings_.join.tolerated_losses);
  if (age < settings_.limits.change_in_force || age <= warned_age_) return;
  warned_age_ = age;
  log::Write(log::Level::kWarn, "change_in_force_too_short",
             {{"followers", followers},
              {"controls", controls},
              {"needed_ms", core::ToMilliseconds(age)},
              {"change_in_force_ms",
               core::ToMilliseconds(settings_.limits.change_in_force)}});
}

void ControlNode::LogParentChange(const std::optional<core::HostId>& former,
                                  core::Instant now) const {
  if (!parent_->parent() || parent_->parent() == former) return;
  const char* reason = membership::Name(parent_->change());
  log::Write(log::Level::kInfo, "parent_changed",
             {{"from", former.value_or(core::HostId())},
              {"to", *parent_->parent()},
              {"reason", reason},
              {"fleet_age_ms", FormatAge(now)}});
  Count("foxquay_parent_changes_total",
        "reason=\"" + std::string(reason) + "\"");
}

std::string ControlNode::FormatAge(core::Instant now) const {
  const auto& confirmed = observer_.confirmed();
  if (!confirmed) return {};
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(now - *confirmed)
          .count());
}

std::optional<core::Instant> ControlNode::CompleteAsOf() const {
  if (!parent_) return observer_.confirmed();
  const auto configuration =
      std::max(observer_.confirmed(), outage_.ConfigurationAsOf());
  const auto upstreams =
      std::min(upstreams_confirmed_, roster_.SpreadAsOf(alive_controls_));
  return std::min(configuration, std::max(upstreams, outage_.UpstreamsAsOf()));
}

void ControlNode::RecordFeeds(const core::HostId& from,
                              const schema::FollowerReply& reply) {
  const auto feeds = roster_.ConfirmedAt(from);
  if (!feeds || !reply.config) return;
  // A control host that is cut off from the others lacks what they hear.
  const core::Duration age =
      std::max(reply.config->age, core::Duration::zero());
  upstreams_confirmed_ = std::max(
      upstreams_confirmed_, std::optional(*feeds - core::WithClockError(age)));
}

void ControlNode::HandleConnectionLoss(const transport::ConnectionLoss& loss) {
  const bool refused = loss.error == std::errc::connection_refused ||
                       loss.error == std::errc::connection_reset;
  if (parent_ && !loss.established && refused) {
    outage_.RecordRefusal(loss.host, Now());
  }
  Count("foxquay_peer_connections_lost_total",
        loss.established ? "established=\"true\"" : "established=\"false\"");
  // The transport is in the middle of an operation.
  boost::asio::post(context_, [this, host = loss.host] {
    if (stopping_) return;
    content_share_.RecordLoss(host);
    roster_.RecordLoss(host);
    PollAfterLoss(host);
  });
  if (!loss.established) return;
  log::Write(log::Level::kInfo, "peer_connection_lost",
             {{"host", loss.host},
              {"unsent", loss.unsent},
              {"error", loss.error.message()}});
}

void ControlNode::PollAfterLoss(const core::HostId& host) {
  if (!parent_) return;
  const core::Instant now = Now();
  parent_->HandleLoss(host, now);
  FollowParent(now);
}

void ControlNode::FollowParent(core::Instant now) {
  const auto former = parent_->parent();
  const std::vector<core::HostId> due = parent_->Due(now);
  LogParentChange(former, now);
  for (const core::HostId& host : due) {
    // Another control host is only asked whether it confirms the configuration.
    if (parent_->parent() != host) {
      if (observer_.confirmed()) Send(host, observer_.StartPoll(now));
      continue;
    }
    schema::FollowerPoll poll;
    poll.address = OwnAddress();
    poll.report = OwnReport(now);
    poll.number = next_report_++;
    poll.config = observer_.StartPoll(now);
    poll.roster = roster_.Poll(now);
    if (sink_.retry_usage) poll.retries = sink_.retry_usage();
    poll.quarantine = OwnQuarantineReport();
    poll.limits = OwnLimitReport(host, now);
    poll.limits_version = limits_version_;
    Send(host, poll);
  }
}

void ControlNode::On(const schema::Envelope& from,
                     const schema::FollowerPoll& poll) {
  if (poll.address.id != from.sender || parent_) return;
  if (const auto error = links_.SetPeer(from.sender, poll.address.peer)) {
    log::Write(log::Level::kWarn, "peer_unnamed",
               {{"host", from.sender}, {"error", error.message()}});
    return;
  }
  const core::Instant now = Now();
  roster_.HearHost({poll.address, poll.number, poll.report.draining,
                    poll.report.admitting, false, poll.report.cut_off},
                   now);
  follower_requests_[from.sender] = {now, poll.report.open_requests};
  detector_.Record(poll.quarantine, now);
  quarantine_news_.Add(poll.quarantine, now);
  limit_pool_.Record(poll.limits.statements, now);
  QueuePoll(from, poll);
}

void ControlNode::QueuePoll(
    const schema::Envelope& from,
    std::variant<schema::FollowerPoll, schema::ConfigPoll> poll) {
  polls_.Push(from.sender, {from.sender, from.incarnation, std::move(poll)},
              Now());
  AnswerPollsSoon();
}

void ControlNode::AnswerPollsSoon() {
  if (answering_polls_) return;
  answering_polls_ = true;
  boost::asio::post(context_, [this] {
    answering_polls_ = false;
    const auto waiting = polls_.Pop(Now());
    if (!waiting || stopping_) return;
    std::visit([&](const auto& poll) { AnswerPoll(*waiting, poll); },
               waiting->poll);
    // Messages that have arrived meanwhile are handled in between.
    if (!polls_.empty()) AnswerPollsSoon();
  });
}

void ControlNode::AnswerPoll(const WaitingPoll& from,
                             const schema::FollowerPoll& poll) {
  const core::Instant now = Now();
  schema::FollowerReply reply;
  reply.watched = watched_parts_;
  const std::size_t max_content =
      content_share_.Allowed(from.sender, poll.config.fleet_version, now);
  reply.config = AnswerConfig(from.sender, poll.config, max_content, now);
  reply.roster = roster_.Answer(poll.roster, now);
  reply.open_requests = total_open_;
  reply.retries = retry_pool_.Grant({from.sender, from.incarnation},
                                    poll.retries, entry_hosts_, now);
  AnswerLimits(from.sender, poll, now, reply);
  std::size_t content = reply.config ? reply.config->fleet.size() : 0;
  if (content > 0 && !internal::FitsMessage(reply)) {
    // The feeds come once; the content goes with the reply to the next poll.
    reply.config = AnswerConfig(from.sender, poll.config, 0, now);
    content = 0;
  }
  const std::uint64_t version = reply.config ? reply.config->fleet_version : 0;
  Send(from.sender, std::move(reply));
  RecordContent(from.sender, version, content, now);
  message_stats_.RecordTime(MessageKind<schema::FollowerPoll>(), Now() - now);
}

void ControlNode::AnswerPoll(const WaitingPoll& from,
                             const schema::ConfigPoll& poll) {
  const core::Instant now = Now();
  AnswerConfigPoll(from.sender, poll, now);
  message_stats_.RecordTime(MessageKind<schema::ConfigPoll>(), Now() - now);
}

void ControlNode::On(const schema::Envelope& from,
                     const schema::FollowerReply& reply) {
  if (!parent_) return;
  const core::Instant now = Now();
  if (reply.config && observer_.HandleReply(*reply.config)) PublishPolicy();
  RecordReply(from.sender, reply.config ? &*reply.config : nullptr, now);
  roster_.Apply(reply.roster, now);
  RecordFeeds(from.sender, reply);
  // The lease holds for the upstreams that were published before it.
  PublishRoster(now);
  PublishAdmission(now);
  if (sink_.set_open_requests) sink_.set_open_requests(reply.open_requests);
  if (sink_.set_watched_parts) sink_.set_watched_parts(reply.watched);
  // Another control host answers only for its own followers.
  const bool from_parent = parent_->parent() == from.sender;
  if (from_parent && sink_.set_retry_allowances) {
    sink_.set_retry_allowances(reply.retries);
  }
  if (sink_.set_limits && (!reply.limits.empty() || !reply.leaves.empty())) {
    sink_.set_limits(reply.limits, reply.leaves);
  }
  if (!from_parent) return;
  limits_version_ = reply.limits_version;
  const std::pair<core::HostId, std::uint64_t> parent(from.sender,
                                                      from.incarnation);
  if (limits_sent_to_ != parent) {
    limits_sent_to_ = parent;
    limits_sent_at_ = {};
  }
}

void ControlNode::RecordReply(const core::HostId& from,
                              const schema::ConfigReply* reply,
                              core::Instant now) {
  const auto age = reply != nullptr ? std::optional(reply->age) : std::nullopt;
  const bool confirmed = age && *age <= membership::kMaxConfirmationAge;
  const std::uint64_t version = reply != nullptr ? reply->fleet_version : 0;
  const bool lacks_content = version > observer_.fleet_version();
  if (lacks_content) Count("foxquay_replies_without_content_total", "");
  RecordEvidence(from, reply, now);
  Count("foxquay_parent_replies_total",
        confirmed ? "confirmed=\"true\"" : "confirmed=\"false\"");
  if (!confirmed || lacks_content) {
    log::Write(
        log::Level::kInfo, "reply_unconfirmed",
        {{"host", from},
         {"answered", age.has_value()},
         {"age_ms", core::ToMilliseconds(age.value_or(core::Duration::zero()))},
         {"version", version},
         {"own_version", observer_.fleet_version()},
         {"fleet_age_ms", FormatAge(now)}});
  }
  const auto former = parent_->parent();
  parent_->HandleReply(from, age, now);
  LogParentChange(former, now);
}

void ControlNode::RecordEvidence(const core::HostId& from,
                                 const schema::ConfigReply* reply,
                                 core::Instant now) {
  if (reply == nullptr) {
    outage_.RecordStart(from, now);
  } else if (observer_.HasAll(*reply)) {
    outage_.RecordReply(from);
  } else {
    outage_.Clear();
  }
}

void ControlNode::ReviewConfirmation(core::Instant now) {
  // Before the first confirmation, announcements are kept for the others.
  const auto& confirmed = observer_.confirmed();
  const bool lost = confirmed && now - *confirmed > internal::kCutOffTime;
  if (!uses_seeds() || accepts_announcements_ == !lost) return;
  accepts_announcements_ = !lost;
  if (replica_) {
    log::Write(log::Level::kWarn, "announcements_accepted",
               {{"accepted", !lost}});
  }
}

void ControlNode::FollowHosts(core::Instant now) {
  const bool changed = followed_changes_ != roster_.changes();
  if (!changed && now < next_hosts_review_) return;
  for (const schema::HostState& state : roster_.Hosts(now)) {
    const bool moved = hosts_.Follow(state, now);
    if (moved && !parent_ && state.address.control) AddPeer(state.address);
  }
  if (!changed) return;
  followed_changes_ = roster_.changes();
  next_hosts_review_ = now;
  UpdateParentCandidates();
}

void ControlNode::SumOpenRequests(core::Instant now) {
  const auto sum = [now](std::map<core::HostId, ReportedRequests>& reports) {
    std::erase_if(reports, [now](const auto& item) {
      return now - item.second.reported_at > kHostSilence;
    });
    std::uint64_t total = 0;
    for (const auto& [host, report] : reports) total += report.open;
    return total;
  };
  followers_open_ = sum(follower_requests_);
  total_open_ = followers_open_ + sum(control_requests_);
}

}  // namespace foxquay::daemon
