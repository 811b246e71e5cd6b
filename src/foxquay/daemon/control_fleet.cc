// The fleet's configuration and the leadership that orders to upstreams need.
#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>
#include <variant>

#include "foxquay/daemon/clock.h"
#include "foxquay/daemon/control_node.h"
#include "foxquay/log/log.h"

namespace foxquay::daemon {
namespace internal {

/// Pause between two probes of an upstream, above the time of one.
constexpr core::Duration kProbePause = std::chrono::milliseconds(900);

/// Time for which a stalled request speaks against the upstreams on its way,
/// longer than two probes.
constexpr core::Duration kDoubtLife = std::chrono::milliseconds(2000);

}  // namespace internal

void ControlNode::PutFleet(
    schema::PutFleet command, core::Duration timeout,
    std::function<void(core::Result<schema::FleetResult>)> done) {
  boost::asio::post(context_, [this, command = std::move(command), timeout,
                               done = std::move(done)] {
    const core::Instant now = Now();
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
    reads_.push_back({now, now + timeout, done});
    AnswerReads(now);
  });
}

void ControlNode::AnswerReads(core::Instant now) {
  if (reads_.empty()) return;
  const auto confirmed =
      replica_ ? replica_->replica().FreshAsOf() : std::nullopt;
  std::vector<FleetRead> waiting;
  for (FleetRead& read : std::exchange(reads_, {})) {
    if (confirmed && *confirmed >= read.asked) {
      read.done(replica_->state().fleet().source);
    } else if (now >= read.deadline) {
      log::Write(log::Level::kWarn, "fleet_read_refused",
                 {{"reason", "this host cannot confirm its state"}});
      read.done(make_error_code(core::Error::kUnavailable));
    } else {
      waiting.push_back(std::move(read));
    }
  }
  reads_ = std::move(waiting);
}

void ControlNode::ProbeSilent(core::Instant now) {
  if (!sink_.probe_upstreams) return;
  Probe(roster_.Silent(settings_.limits.upstream_heartbeat * 5 / 4, now), now);
}

void ControlNode::Probe(std::vector<schema::Announcement> doubtful,
                        core::Instant now) {
  std::erase_if(probed_, [now](const auto& item) {
    return now - item.second > internal::kProbePause;
  });
  std::erase_if(doubtful, [this, now](const auto& announcement) {
    return !probed_.try_emplace(announcement.id, now).second;
  });
  if (!doubtful.empty()) sink_.probe_upstreams(doubtful);
}

void ControlNode::ReportSuspected(std::vector<core::UpstreamId> upstreams) {
  boost::asio::post(context_, [this, upstreams = std::move(upstreams)] {
    const core::HostId leader = KnownLeader();
    if (!leader.empty()) Send(leader, schema::UpstreamDoubts{upstreams});
  });
}

void ControlNode::On(const schema::Envelope& from,
                     const schema::UpstreamDoubts& doubts) {
  if (!sink_.probe_upstreams) return;
  const core::Instant now = Now();
  std::erase_if(doubted_, [now](const auto& item) {
    return now - item.second > internal::kDoubtLife;
  });
  std::vector<schema::Announcement> doubtful;
  for (const core::UpstreamId& id : doubts.upstreams) {
    std::optional<schema::Announcement> known = roster_.Newest(id);
    if (!known || known->leaving) continue;
    doubted_[id] = now;
    doubtful.push_back(*std::move(known));
  }
  log::Write(log::Level::kInfo, "upstreams_doubted",
             {{"host", from.sender}, {"count", doubtful.size()}});
  Probe(std::move(doubtful), now);
}

void ControlNode::HandleProbeResult(const schema::Announcement& probed,
                                    bool reached) {
  boost::asio::post(context_, [this, probed, reached] {
    const core::Instant now = Now();
    if (reached) {
      roster_.Renew(probed.id, now);
      return;
    }
    // An upstream that only control hosts cannot reach still serves the others;
    // without a stalled request it is given its whole time.
    const auto doubted = doubted_.find(probed.id);
    const bool stalls = doubted != doubted_.end() &&
                        now - doubted->second <= internal::kDoubtLife;
    const auto newest = roster_.Newest(probed.id);
    const bool renewed =
        !newest || newest->leaving || newest->sequence != probed.sequence;
    if (renewed || !stalls) return;
    log::Write(log::Level::kWarn, "upstream_lost",
               {{"upstream", probed.id},
                {"address", probed.address},
                {"reason", "not heard since and unreachable"}});
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
