// Planned stops: a replica hands its vote to a caught-up learner before its
// process ends, and asks for it back when it has restarted.
//
// A stop looks like a removal until the process starts again. A vote that
// stayed with a removed host would cost the group its quorum at the next loss.
#include <chrono>

#include "foxquay/consensus/state.h"

namespace foxquay::consensus {
namespace {

/// Time after the start of the process in which a replica looks for the vote
/// that it has lost; its log may have missed the change. A vote that is lost
/// later was lost to a freeze or a cut, which may come again.
constexpr core::Duration kReturnWindow = std::chrono::seconds(10);

}  // namespace

void Replica::State::On(const Retire& /*event*/) {
  if (retiring_) return;
  retiring_ = true;
  next_leave_request_ = now_;
  if (role_ != Role::kLeader) return;
  UpdateMembership();
  ReplicateToAll(false);
}

void Replica::State::RequestLeave() {
  if (!retiring_ || now_ < next_leave_request_) return;
  next_leave_request_ = now_ + options_.timing.heartbeat;
  if (role_ == Role::kLeader || !leader_) return;
  schema::LeaveRequest request;
  request.header = Header(*leader_);
  request.session = session_;
  SendAfterWrite(request, writes_.vote_write());
}

void Replica::State::On(const schema::LeaveRequest& request) {
  const schema::ReplicaId& leaving = request.header.from;
  const auto found = progress_.find(leaving);
  if (role_ != Role::kLeader || found == progress_.end()) return;
  found->second.leaving_session = request.session;
  UpdateMembership();
  ReplicateToAll(false);
  schema::LeaveReply reply;
  reply.header = Header(leaving);
  reply.pending = IsMovePending(leaving);
  SendAfterWrite(reply, writes_.vote_write());
}

void Replica::State::On(const schema::LeaveReply& reply) {
  if (reply.header.term == term_) leave_settled_ = !reply.pending;
}

bool Replica::State::MayStop() const {
  if (!retiring_) return false;
  // A leader that does not know of the stop may choose this replica to take
  // over another vote, also if it has none.
  return role_ == Role::kLeader ? !IsMovePending(options_.self)
                                : leave_settled_;
}

void Replica::State::FindStandIn() {
  stand_in_.reset();
  if (retiring_ || now_ >= started_at_ + kReturnWindow) return;
  stand_in_ = log_.StandInOf(options_.self.host);
}

void Replica::State::RequestReturn() {
  if (!stand_in_ || !leader_ || now_ < next_return_request_) return;
  next_return_request_ = now_ + options_.timing.max_election;
  schema::ReturnRequest request;
  request.header = Header(*leader_);
  request.stand_in = *stand_in_;
  SendAfterWrite(request, writes_.vote_write());
}

void Replica::State::On(const schema::ReturnRequest& request) {
  const auto found = progress_.find(request.header.from);
  if (role_ != Role::kLeader || found == progress_.end()) return;
  found->second.stand_in = request.stand_in;
}

}  // namespace foxquay::consensus
