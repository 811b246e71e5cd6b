// Limits that upstreams state on the requests that they take from all hosts.
#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

#include "foxquay/daemon/clock.h"
#include "foxquay/daemon/control_node.h"
#include "foxquay/log/log.h"

namespace foxquay::daemon {
namespace internal {

/// Interval at which a host reports all limits that it knows, so that they
/// outlast a control host that forgot them.
constexpr core::Duration kFullLimitReport = std::chrono::seconds(5);

/// Minimum interval between two reports of requests that wait for a leave.
constexpr core::Duration kAskInterval = std::chrono::milliseconds(10);

/// Age up to which a statement counts as new; several polls.
constexpr core::Duration kNewStatement = std::chrono::seconds(2);

/// Interval at which followers get the whole list again, below the time for
/// which they remember a limit.
constexpr core::Duration kLimitListInterval = relay::kLimitMemory / 4;

}  // namespace internal

schema::LimitReport ControlNode::OwnLimitReport(const core::HostId& to,
                                                core::Instant now) {
  if (!sink_.limit_report) return {};
  schema::LimitReport report = sink_.limit_report();
  const bool all = to != limits_sent_to_.first ||
                   now - limits_sent_at_ >= internal::kFullLimitReport;
  if (all) {
    if (to == limits_sent_to_.first) limits_sent_at_ = now;
    return report;
  }
  std::erase_if(report.statements, [](const schema::LimitStatement& statement) {
    return statement.age > internal::kNewStatement;
  });
  return report;
}

void ControlNode::AnswerLimits(const core::HostId& follower,
                               const schema::FollowerPoll& poll,
                               core::Instant now,
                               schema::FollowerReply& reply) {
  const relay::LimitTable& table = limit_pool_.table();
  if (table.empty()) return;
  const auto refresh = static_cast<std::uint64_t>(now.time_since_epoch() /
                                                  internal::kLimitListInterval);
  reply.limits_version = incarnation_ + table.changes() + refresh;
  if (poll.limits_version != reply.limits_version) {
    reply.limits = table.List(relay::kLimitMemory, now);
  }
  reply.leaves = GrantLeaves(follower, poll.limits, now);
}

std::vector<schema::LimitLeave> ControlNode::GrantLeaves(
    const core::HostId& follower, const schema::LimitReport& report,
    core::Instant now) {
  relay::LimitHosts hosts;
  hosts.self = self_;
  hosts.entry_hosts = entry_hosts_;
  hosts.controls = alive_controls_;
  return limit_pool_.Grant(follower, report.needs, hosts, now);
}

void ControlNode::ShareLimits(core::Instant now) {
  schema::LimitReport report;
  report.statements = limit_pool_.TakeNews(now);
  if (report.statements.empty()) return;
  const schema::PeerMessage message = std::move(report);
  for (const core::HostId& peer : peers_) Send(peer, message);
}

void ControlNode::AskForLeaves() {
  boost::asio::post(context_, [this] {
    const core::Instant now = Now();
    const bool due = now - leaves_asked_at_ >= internal::kAskInterval;
    if (!parent_ || !parent_->parent() || !due) return;
    leaves_asked_at_ = now;
    const core::HostId& to = *parent_->parent();
    Send(to, OwnLimitReport(to, now));
  });
}

void ControlNode::On(const schema::Envelope& from,
                     const schema::LimitReport& report) {
  const core::Instant now = Now();
  limit_pool_.Record(report.statements, now);
  if (!follower_requests_.contains(from.sender)) return;
  Send(from.sender, schema::LimitGrant{GrantLeaves(from.sender, report, now)});
}

void ControlNode::On(const schema::Envelope&, const schema::LimitGrant& grant) {
  if (sink_.set_limits) sink_.set_limits({}, grant.leaves);
}

}  // namespace foxquay::daemon
