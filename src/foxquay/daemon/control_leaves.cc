// Announcements and withdrawals of upstreams.
#include <boost/asio/post.hpp>
#include <utility>

#include "foxquay/daemon/clock.h"
#include "foxquay/daemon/control_node.h"
#include "foxquay/log/log.h"

namespace foxquay::daemon {
namespace internal {

std::string Join(const std::vector<core::HostId>& hosts) {
  std::string joined;
  for (const core::HostId& host : hosts) {
    if (!joined.empty()) joined += ",";
    joined += host.value();
  }
  return joined;
}

}  // namespace internal

void ControlNode::Announce(const schema::Announcement& announcement,
                           std::function<void()> done) {
  boost::asio::post(context_, [this, announcement, called = Now(),
                               done = std::move(done)]() mutable {
    const core::Instant now = Now();
    if (IsUnconfigured(announcement)) {
      if (unconfigured_.Hold(announcement, now)) {
        log::Write(log::Level::kWarn, "announcement_held",
                   {{"upstream", announcement.id},
                    {"service", announcement.service},
                    {"reason", "the configuration has no such service"}});
      }
      if (done) done();
      return;
    }
    unconfigured_.Drop(announcement.id);
    if (roster_.Announce(announcement, now)) PublishRoster(now);
    if (done) AwaitSpread(announcement.id, called, std::move(done));
  });
}

bool ControlNode::IsUnconfigured(
    const schema::Announcement& announcement) const {
  if (!unconfigured_.Lacks(announcement.service)) return false;
  const auto known = roster_.Newest(announcement.id);
  return !known || known->service != announcement.service;
}

void ControlNode::SetServices(std::set<core::ServiceId> services) {
  boost::asio::post(context_, [this, services = std::move(services)]() mutable {
    const core::Instant now = Now();
    for (const schema::Announcement& announcement :
         unconfigured_.SetServices(std::move(services), now)) {
      roster_.Announce(announcement, now);
    }
    PublishRoster(now);
  });
}

void ControlNode::Withdraw(const core::UpstreamId& upstream,
                           std::function<void(bool known)> done) {
  boost::asio::post(context_,
                    [this, upstream, called = Now(), done = std::move(done)] {
                      const core::Instant now = Now();
                      const bool held = unconfigured_.Drop(upstream);
                      const bool known = roster_.Leave(upstream, now);
                      if (known) PublishRoster(now);
                      if (!done) return;
                      if (known) {
                        AwaitSpread(upstream, called, [done] { done(true); });
                      } else {
                        done(held);
                      }
                    });
}

void ControlNode::AwaitSpread(const core::UpstreamId& upstream,
                              core::Instant called,
                              std::function<void()> done) {
  const auto version = roster_.LeavingSince(upstream);
  if (!version) {
    done();
    return;
  }
  const std::uint64_t number = next_leave_++;
  leaves_[number] = {upstream, called, std::move(done)};
  spread_.Await(number, *version, called + roster::kSpreadTimeout);
  AnswerLeaves(Now());
}

std::vector<core::HostId> ControlNode::OtherControls() const {
  // One that is only taken for lost may still serve followers.
  if (uses_seeds()) return peers_;
  std::vector<core::HostId> others = alive_controls_;
  std::erase(others, self_);
  return others;
}

void ControlNode::AnswerLeaves(core::Instant now) {
  if (spread_.empty()) return;
  for (const auto& settled : spread_.Take(OtherControls(), now)) {
    const auto found = leaves_.find(settled.task);
    const Leave leave = std::move(found->second);
    leaves_.erase(found);
    const bool spread = settled.lacking.empty();
    log::Write(spread ? log::Level::kInfo : log::Level::kWarn,
               spread ? "leave_acknowledged" : "leave_spread_incomplete",
               {{"upstream", leave.upstream},
                {"waited_ms", core::ToMilliseconds(now - leave.called)},
                {"lacking", internal::Join(settled.lacking)}});
    Count("foxquay_leaves_acknowledged_total",
          spread ? "spread=\"true\"" : "spread=\"false\"");
    leave.done();
  }
}

}  // namespace foxquay::daemon
