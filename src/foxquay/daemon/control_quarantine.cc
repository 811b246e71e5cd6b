// Evidence of crashes that requests cause, and the quarantines that follow.
#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include "foxquay/daemon/clock.h"
#include "foxquay/daemon/control_node.h"
#include "foxquay/log/log.h"
#include "foxquay/quarantine/parts.h"

namespace foxquay::daemon {
namespace internal {

constexpr core::Duration kQuarantineReviewInterval =
    std::chrono::milliseconds(100);

/// Minimum time in which the answers that hosts have seen are reported.
constexpr core::Duration kMinSettleTime = std::chrono::milliseconds(1000);

/// Polls of a follower within the time in which its answers are reported: one
/// that states the parts to watch, one that states their answers, and one that
/// may be lost.
constexpr int kSettlePolls = 3;

void LogChange(const schema::PutQuarantine& change) {
  const schema::Quarantine& quarantine = change.quarantine;
  log::Write(log::Level::kWarn, "quarantine_proposed",
             {{"service", quarantine.service},
              {"parts", quarantine::Format(quarantine.parts)},
              {"workspaces", quarantine.workspaces.size()},
              {"generation", quarantine.generation},
              {"crashes", quarantine.crashes},
              {"probes", quarantine.probes},
              {"prober", quarantine.prober}});
}

void LogChange(const schema::ReleaseQuarantine& change) {
  log::Write(log::Level::kWarn, "quarantine_release_proposed",
             {{"service", change.service},
              {"parts", quarantine::Format(change.parts)},
              {"generation", change.generation}});
}

}  // namespace internal

schema::QuarantineReport ControlNode::OwnQuarantineReport() const {
  if (!sink_.quarantine_report) return {};
  schema::QuarantineReport report = sink_.quarantine_report();
  for (schema::ReportedCrash& crash : report.crashes) {
    crash.host = self_;
    crash.incarnation = incarnation_;
  }
  for (schema::RefusedParts& refusal : report.refused) {
    refusal.host = self_;
    refusal.incarnation = incarnation_;
  }
  return report;
}

void ControlNode::ShareQuarantineReports(core::Instant now) {
  const schema::QuarantineReport own = OwnQuarantineReport();
  detector_.Record(own, now);
  quarantine_news_.Add(own, now);
  watched_parts_ = detector_.Watched(observer_.quarantines());
  if (sink_.set_watched_parts) sink_.set_watched_parts(watched_parts_);
  if (quarantine_news_.empty()) return;
  const schema::PeerMessage news = quarantine_news_.Take(now);
  for (const core::HostId& peer : peers_) Send(peer, news);
}

void ControlNode::On(const schema::Envelope&,
                     const schema::QuarantineReport& report) {
  detector_.Record(report, Now());
}

void ControlNode::RecordReached(const schema::Announcement& upstream,
                                core::Instant sent, core::Instant now) {
  schema::QuarantineReport report;
  report.reached.push_back({upstream.id, upstream.born, now - sent});
  detector_.Record(report, now);
  // Crashes are reported for upstreams that are suspected as well.
  if (suspected_.contains(upstream.id)) quarantine_news_.Add(report, now);
}

void ControlNode::ReviewQuarantines(core::Instant now) {
  if (!replica_ || now < next_quarantine_review_) return;
  next_quarantine_review_ = now + internal::kQuarantineReviewInterval;
  const auto controls =
      static_cast<double>(std::max<std::size_t>(1, peers_.size() + 1));
  const std::chrono::duration<double> poll_interval(
      static_cast<double>(entry_hosts_) /
      (membership::kMaxFollowerPollRate * controls));
  const core::Duration settle =
      std::max(internal::kMinSettleTime,
               std::chrono::duration_cast<core::Duration>(poll_interval) *
                   internal::kSettlePolls);
  // The replica's table, which no other change can precede, decides; on the
  // other control hosts the review only forgets old evidence.
  const schema::QuarantineTable& table = replica_->state().quarantines();
  const auto change = detector_.Review(table, settle, now);
  if (!change || !replica_->leads() || proposing_quarantine_) return;
  proposing_quarantine_ = true;
  std::visit([](const auto& command) { internal::LogChange(command); },
             *change);
  const auto command = std::visit(
      [](const auto& each) { return schema::ControlCommand(each); }, *change);
  proposer_.Propose(command, now + kClaimTimeout, now,
                    [this](const core::Result<schema::ControlResult>& result) {
                      proposing_quarantine_ = false;
                      if (!result) {
                        log::Write(log::Level::kWarn, "quarantine_undecided",
                                   {{"error", result.error().message()}});
                      }
                    });
}

}  // namespace foxquay::daemon
