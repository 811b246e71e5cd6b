// Fleet configuration, probes of upstreams, and the leadership that is required
// to send orders to upstreams.
#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>
#include <variant>

#include "foxquay/daemon/clock.h"
#include "foxquay/daemon/control_node.h"
#include "foxquay/log/log.h"

namespace foxquay::daemon {
namespace internal {

/// Minimum interval between two probes of an upstream; longer than one probe
/// takes.
constexpr core::Duration kProbeInterval = std::chrono::milliseconds(900);

/// Time for which a stalled request makes the upstreams on its path suspected;
/// longer than two probes.
constexpr core::Duration kSuspicionDuration = std::chrono::milliseconds(2000);

}  // namespace internal

void ControlNode::PutFleet(
    schema::PutFleet command, core::Duration timeout,
    std::function<void(core::Result<schema::FleetResult>)> done) {
  boost::asio::post(context_, [this, command = std::move(command), timeout,
                               done = std::move(done)] {
    const core::Instant now = Now();
    const auto known = replica_ ? replica_->FindResult(command) : std::nullopt;
    if (known) {
      log::Write(log::Level::kInfo, "fleet_put_again",
                 {{"version", command.version}, {"in_force", known->version}});
      done(*known);
      return;
    }
    proposer_.Propose(
        command, now + timeout, now,
        [done, version = command.version](
            const core::Result<schema::ControlResult>& result) {
          const auto* put =
              result ? std::get_if<schema::FleetResult>(&result.value())
                     : nullptr;
          log::Write(log::Level::kInfo, "fleet_put",
                     {{"version", version},
                      {"committed", put != nullptr},
                      {"in_force", put != nullptr ? put->version : 0}});
          if (put == nullptr) {
            done(make_error_code(core::Error::kUnavailable));
          } else {
            done(*put);
          }
        });
  });
}

void ControlNode::ReadFleet(
    core::Duration timeout,
    std::function<void(core::Result<std::string>)> done) {
  boost::asio::post(context_, [this, timeout, done = std::move(done)] {
    const core::Instant now = Now();
    fleet_reads_.push_back({now, now + timeout, done});
    AnswerFleetReads(now);
  });
}

void ControlNode::AnswerFleetReads(core::Instant now) {
  if (fleet_reads_.empty()) return;
  const auto confirmed =
      replica_ ? replica_->replica().FreshAsOf() : std::nullopt;
  std::vector<FleetRead> waiting;
  for (FleetRead& read : std::exchange(fleet_reads_, {})) {
    if (confirmed && *confirmed >= read.requested) {
      read.done(replica_->state().fleet().source);
    } else if (now >= read.deadline) {
      log::Write(
          log::Level::kWarn, "fleet_read_refused",
          {{"reason",
            "this host did not confirm in time that its state is current"}});
      read.done(make_error_code(core::Error::kUnavailable));
    } else {
      waiting.push_back(std::move(read));
    }
  }
  fleet_reads_ = std::move(waiting);
}

void ControlNode::ProbeOverdue(core::Instant now) {
  if (!sink_.probe_upstreams) return;
  Probe(roster_.Silent(settings_.limits.upstream_heartbeat * 5 / 4, now), now);
}

void ControlNode::Probe(std::vector<schema::Announcement> upstreams,
                        core::Instant now) {
  std::erase_if(probed_, [now](const auto& item) {
    return now - item.second > internal::kProbeInterval;
  });
  std::erase_if(upstreams, [this, now](const auto& announcement) {
    return !probed_.try_emplace(announcement.id, now).second;
  });
  if (!upstreams.empty()) sink_.probe_upstreams(upstreams);
}

void ControlNode::ReportSuspected(std::vector<core::UpstreamId> upstreams) {
  boost::asio::post(context_, [this, upstreams = std::move(upstreams)] {
    // The parent passes the report on to the leader.
    const core::HostId to =
        parent_ ? parent_->parent().value_or(core::HostId()) : KnownLeader();
    if (!to.empty()) Send(to, schema::UpstreamDoubts{upstreams});
  });
}

void ControlNode::On(const schema::Envelope& from,
                     const schema::UpstreamDoubts& report) {
  if (!sink_.probe_upstreams) return;
  const core::Instant now = Now();
  const std::vector<core::UpstreamId> doubted =
      doubts_.TakeNew(report.upstreams, now);
  if (doubted.empty()) return;
  const bool from_follower = follower_requests_.contains(from.sender);
  const core::HostId leader = KnownLeader();
  if (from_follower && !leader.empty() && leader != self_) {
    Send(leader, schema::UpstreamDoubts{doubted});
    return;
  }
  std::erase_if(suspected_, [now](const auto& item) {
    return now - item.second > internal::kSuspicionDuration;
  });
  std::vector<schema::Announcement> suspected;
  for (const core::UpstreamId& id : doubted) {
    std::optional<schema::Announcement> known = roster_.Newest(id);
    if (!known || known->leaving) continue;
    suspected_[id] = now;
    suspected.push_back(*std::move(known));
  }
  log::Write(log::Level::kInfo, "upstreams_doubted",
             {{"host", from.sender}, {"count", suspected.size()}});
  Probe(std::move(suspected), now);
}

void ControlNode::HandleProbeResult(const schema::Announcement& probed,
                                    bool reached) {
  boost::asio::post(context_, [this, probed, reached] {
    const core::Instant now = Now();
    if (reached) {
      const auto sent = probed_.find(probed.id);
      if (sent != probed_.end()) {
        RecordReached(probed, sent->second, now);
      }
      roster_.Renew(probed.id, now);
      return;
    }
    // An upstream that only the control hosts cannot reach still serves other
    // hosts. Unless a stalled request was reported, it stays in the roster
    // until its announcement expires.
    const auto suspicion = suspected_.find(probed.id);
    const bool stalled =
        suspicion != suspected_.end() &&
        now - suspicion->second <= internal::kSuspicionDuration;
    const auto newest = roster_.Newest(probed.id);
    const bool renewed =
        !newest || newest->leaving || newest->sequence != probed.sequence;
    if (renewed || !stalled) return;
    log::Write(
        log::Level::kWarn, "upstream_lost",
        {{"upstream", probed.id},
         {"address", probed.address},
         {"reason", "unreachable, and no newer announcement was received"}});
    if (roster_.Withdraw(probed.id, now)) PublishRoster(now);
  });
}

void ControlNode::HandleLayers(
    const core::UpstreamId& upstream,
    const std::optional<schema::LayerRange>& layers) {
  boost::asio::post(context_, [this, upstream, layers] {
    const core::Instant now = Now();
    const auto newest = roster_.Newest(upstream);
    const bool same = newest && newest->unplaced == !layers &&
                      (!layers || newest->layers == *layers);
    if (same) return;
    roster_.ObserveLayers(upstream, layers, now);
    PublishRoster(now);
  });
}

void ControlNode::PublishLeadership() {
  if (!replica_ || !sink_.set_leadership) return;
  const std::pair<bool, std::uint64_t> leadership(replica_->leads(),
                                                  replica_->replica().term());
  if (published_leadership_ == leadership) return;
  published_leadership_ = leadership;
  log::Write(log::Level::kInfo, "leadership",
             {{"leads", leadership.first}, {"term", leadership.second}});
  sink_.set_leadership(leadership.first, leadership.second);
}

}  // namespace foxquay::daemon
