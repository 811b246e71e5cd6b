#include "foxquay/daemon/control_replica.h"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "foxquay/consensus/error.h"
#include "foxquay/log/log.h"

namespace foxquay::daemon {
namespace internal {

/// Size from which a command is compared with those that are open. Such a
/// command costs each replica more than the comparison.
constexpr std::size_t kLargeCommand = 4096;

/// Formats replicas for logs: `HOST/INCARNATION`, separated by commas.
std::string Format(const std::vector<schema::ReplicaId>& replicas) {
  std::string text;
  for (const schema::ReplicaId& replica : replicas) {
    if (!text.empty()) text += ',';
    text += replica.host.value() + "/" + std::to_string(replica.incarnation);
  }
  return text;
}

void LogMembers(const schema::Configuration& members) {
  log::Write(log::Level::kInfo, "replica_members",
             {{"voters", Format(members.voters)},
              {"previous", Format(members.previous)}});
}

/// Logs messages of elections, which are rare.
void LogVote(const consensus::Send& send) {
  if (const auto* request = std::get_if<schema::VoteRequest>(&send.message)) {
    log::Write(log::Level::kInfo, "vote_requested",
               {{"of", send.to},
                {"pre", request->pre},
                {"term", request->header.term},
                {"last_index", request->last_index},
                {"last_term", request->last_term}});
  } else if (const auto* reply =
                 std::get_if<schema::VoteReply>(&send.message)) {
    log::Write(log::Level::kInfo, "vote_answered",
               {{"to", send.to},
                {"pre", reply->pre},
                {"granted", reply->granted},
                {"term", reply->header.term}});
  }
}

}  // namespace internal

core::Result<control::State> RestoreState(
    const consensus::PersistentState& durable) {
  if (durable.snapshot.meta.index == 0) return control::State();
  return control::State::FromSnapshot(durable.snapshot.data);
}

ControlReplica::ControlReplica(consensus::Options options,
                               consensus::PersistentState durable,
                               Output output, core::Duration lease,
                               core::Instant now)
    : output_(std::move(output)),
      lease_(lease),
      state_(RestoreState(durable).value()),
      replica_(std::move(options), std::move(durable), now) {
  internal::LogMembers(replica_.configuration());
}

void ControlReplica::Handle(const consensus::Event& event, core::Instant now) {
  events_.push_back(event);
  if (handling_) return;
  handling_ = true;
  while (!events_.empty()) {
    const consensus::Event next = std::move(events_.front());
    events_.pop_front();
    for (consensus::Action& action : replica_.Handle(next, now)) {
      std::visit([&](auto& content) { Perform(std::move(content), now); },
                 action);
    }
  }
  handling_ = false;
  output_.changed();
}

void ControlReplica::Propose(std::string command, core::WallTime wall,
                             core::Instant now, Done done) {
  const bool large = command.size() >= internal::kLargeCommand;
  const auto same =
      std::find_if(proposals_.begin(), proposals_.end(), [&](const auto& item) {
        return large && item.second.command == command;
      });
  if (same != proposals_.end()) {
    same->second.done.push_back(std::move(done));
    return;
  }
  const consensus::ProposalId id(next_proposal_++);
  OpenProposal& open = proposals_[id];
  if (large) open.command = command;
  open.done.push_back(std::move(done));
  Handle(consensus::Propose{id, std::move(command), wall}, now);
}

void ControlReplica::Perform(consensus::Persist&& action, core::Instant) {
  output_.persist(std::move(action));
}

void ControlReplica::Perform(consensus::SaveSnapshot&& action, core::Instant) {
  output_.save_snapshot(std::move(action));
}

void ControlReplica::Perform(consensus::Send&& action, core::Instant) {
  internal::LogVote(action);
  output_.send(action.to, action.message);
}

void ControlReplica::Perform(consensus::Apply&& action, core::Instant now) {
  const std::uint64_t previous_sequence = state_.config().sequence();
  last_result_ = state_.Apply(action.index, action.wall, action.payload);
  last_index_ = action.index;
  TrackCommits(previous_sequence, now);
}

void ControlReplica::TrackCommits(std::uint64_t previous_sequence,
                                  core::Instant now) {
  if (!tracker_ || state_.config().sequence() == previous_sequence) return;
  schema::ConfigPoll poll;
  poll.sequence = previous_sequence;
  const schema::ConfigReply reply = state_.Answer(poll, {});
  if (reply.snapshot) {
    tracker_.emplace(state_.config(), now, lease_);
    return;
  }
  for (const schema::ConfigEntry& entry : reply.entries) {
    tracker_->HandleCommit(entry, now);
  }
}

void ControlReplica::Perform(consensus::Restore&& action, core::Instant) {
  auto restored = control::State::FromSnapshot(action.data);
  if (!restored) {
    output_.failed(restored.error());
    return;
  }
  state_ = std::move(restored).value();
  log::Write(log::Level::kInfo, "snapshot_installed",
             {{"bytes", action.data.size()},
              {"commit", replica_.commit()},
              {"fleet", state_.fleet().version}});
}

void ControlReplica::Perform(consensus::ProposalDecided&& action,
                             core::Instant) {
  const auto found = proposals_.find(action.id);
  if (found == proposals_.end()) return;
  const std::vector<Done> waiting = std::move(found->second.done);
  proposals_.erase(found);
  core::Result<schema::ControlResult> result =
      make_error_code(core::Error::kUnavailable);
  if (!action.error && action.index == last_index_) {
    result = last_result_;
  } else if (action.error == consensus::Error::kNotLeader) {
    result = make_error_code(core::Error::kNotLeader);
  } else if (action.error == consensus::Error::kTooLarge) {
    result = make_error_code(core::Error::kTooLarge);
  }
  for (const Done& done : waiting) done(result);
}

void ControlReplica::Perform(consensus::LeaderChanged&&, core::Instant now) {
  tracker_.reset();
  if (leads()) tracker_.emplace(state_.config(), now, lease_);
}

void ControlReplica::Perform(consensus::MembersChanged&& action,
                             core::Instant) {
  internal::LogMembers(action.configuration);
}

void ControlReplica::Perform(consensus::TakeSnapshot&&, core::Instant now) {
  Handle(consensus::SnapshotTaken{state_.index(), state_.Snapshot()}, now);
}

std::optional<schema::FleetResult> ControlReplica::FindResult(
    const schema::PutFleet& command) const {
  const std::uint64_t version = state_.fleet().version;
  if (command.version > version) return std::nullopt;
  return schema::FleetResult{version, false};
}

std::optional<schema::ConfigReply> ControlReplica::Answer(
    const schema::ConfigPoll& poll, core::Instant now,
    std::size_t max_content) {
  if (!leads()) return std::nullopt;
  const std::optional<core::Duration> age = Age(now);
  if (!age) return std::nullopt;
  if (tracker_) {
    tracker_->HandleApplied(poll.host, poll.incarnation, poll.sequence);
  }
  return state_.Answer(poll, *age, max_content);
}

std::optional<control::InForce> ControlReplica::CheckInForce(
    std::uint64_t sequence, core::Instant now) const {
  if (!tracker_ || !replica_.HoldsLease(now)) return std::nullopt;
  return tracker_->Check(sequence, now);
}

std::optional<core::Duration> ControlReplica::Age(core::Instant now) const {
  const std::optional<core::Instant> confirmed = replica_.FreshAsOf();
  if (!confirmed) return std::nullopt;
  return now - *confirmed;
}

core::HostId ControlReplica::leader() const {
  const auto leader = replica_.leader();
  return leader ? leader->host : core::HostId();
}

}  // namespace foxquay::daemon
