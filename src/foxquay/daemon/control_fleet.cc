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
      replica_ ? replica_->replica().Confirmed() : std::nullopt;
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
  std::erase_if(probed_, [now](const auto& item) {
    return now - item.second > internal::kProbePause;
  });
  std::vector<schema::Announcement> due;
  for (schema::Announcement& silent :
       roster_.Silent(settings_.limits.upstream_heartbeat * 5 / 4, now)) {
    if (!probed_.try_emplace(silent.id, now).second) continue;
    due.push_back(std::move(silent));
  }
  if (!due.empty()) sink_.probe_upstreams(due);
}

void ControlNode::NoteProbe(const schema::Announcement& probed, bool reached) {
  boost::asio::post(context_, [this, probed, reached] {
    const core::Instant now = Now();
    const auto silent =
        roster_.Silent(settings_.limits.upstream_heartbeat * 5 / 4, now);
    const bool still = std::any_of(
        silent.begin(), silent.end(), [&probed](const auto& announcement) {
          return announcement.id == probed.id &&
                 announcement.sequence == probed.sequence;
        });
    if (!still) return;
    if (reached) {
      roster_.Renew(probed.id, now);
      return;
    }
    log::Write(log::Level::kWarn, "upstream_lost",
               {{"upstream", probed.id},
                {"address", probed.address},
                {"reason", "overdue and unreachable"}});
    if (roster_.Withdraw(probed.id, now)) PublishRoster(now);
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
