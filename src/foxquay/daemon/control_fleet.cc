// The fleet's configuration and the leadership that orders to upstreams need.
#include <boost/asio/post.hpp>
#include <utility>
#include <variant>

#include "foxquay/daemon/clock.h"
#include "foxquay/daemon/control_node.h"
#include "foxquay/log/log.h"

namespace foxquay::daemon {

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
