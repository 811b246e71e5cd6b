#include "foxquay/daemon/control_proposer.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "foxquay/schema/codec.h"
#include "foxquay/schema/sizes.h"

namespace foxquay::daemon {

Proposer::Proposer(std::uint64_t incarnation,
                   std::vector<core::HostId> control_hosts, Send send)
    : incarnation_(incarnation),
      control_hosts_(std::move(control_hosts)),
      send_(std::move(send)) {
  assert(!control_hosts_.empty() && "there must be a control host");
}

void Proposer::Propose(const schema::ControlCommand& command,
                       core::Instant deadline, core::Instant now, Done done) {
  if (open_.size() >= kMaxOpenProposals) {
    done(make_error_code(core::Error::kUnavailable));
    return;
  }
  core::Result<std::string> encoded = schema::TryEncode(command);
  if (!encoded || encoded.value().size() > schema::kMaxCommandBytes) {
    done(make_error_code(core::Error::kTooLarge));
    return;
  }
  const std::uint64_t number = next_number_++;
  OpenProposal& open =
      open_
          .emplace(number, OpenProposal{std::move(encoded).value(), deadline,
                                        now, std::move(done)})
          .first->second;
  Attempt(number, open, now);
}

const core::HostId& Proposer::SelectTarget() {
  if (!leader_.empty()) return leader_;
  next_host_ = (next_host_ + 1) % control_hosts_.size();
  return control_hosts_[next_host_];
}

void Proposer::Attempt(std::uint64_t number, OpenProposal& open,
                       core::Instant now) {
  open.next_attempt = now + kAttemptTimeout;
  send_(SelectTarget(), {incarnation_, number, open.command});
}

void Proposer::HandleReply(const schema::ProposeReply& reply,
                           core::Instant now) {
  if (reply.incarnation != incarnation_) return;
  const auto found = open_.find(reply.number);
  if (found == open_.end()) return;
  SetLeader(reply.leader);
  if (reply.committed && reply.result) {
    Complete(reply.number, *reply.result);
    return;
  }
  found->second.next_attempt =
      std::min(found->second.next_attempt, now + kRetryDelay);
}

void Proposer::Tick(core::Instant now) {
  std::vector<std::uint64_t> expired;
  bool unanswered = false;
  for (auto& [number, open] : open_) {
    if (now >= open.deadline) {
      expired.push_back(number);
    } else if (now >= open.next_attempt) {
      unanswered = true;
    }
  }
  if (unanswered) SetLeader(core::HostId());
  for (auto& [number, open] : open_) {
    if (now < open.deadline && now >= open.next_attempt) {
      Attempt(number, open, now);
    }
  }
  for (const std::uint64_t number : expired) {
    Complete(number, make_error_code(core::Error::kUnavailable));
  }
}

void Proposer::SetLeader(const core::HostId& leader) { leader_ = leader; }

void Proposer::Complete(std::uint64_t number,
                        core::Result<schema::ControlResult> result) {
  const auto found = open_.find(number);
  const Done done = std::move(found->second.done);
  open_.erase(found);
  done(std::move(result));
}

}  // namespace foxquay::daemon
