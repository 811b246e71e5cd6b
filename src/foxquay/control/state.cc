#include "foxquay/control/state.h"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <type_traits>
#include <utility>
#include <variant>

#include "foxquay/control/change.h"
#include "foxquay/core/hash.h"
#include "foxquay/schema/codec.h"

namespace foxquay::control {
namespace internal {

/// Bytes before the first field of an encoded message: its byte order.
constexpr std::size_t kArchiveHeaderBytes = 1;

}  // namespace internal

struct State::Visitor {
  State& state;
  const std::string& bytes;

  template <class Command>
  schema::ControlResult operator()(const Command& command) const {
    using schema::ReleaseClaim, schema::RecordClaim, schema::Claim;
    if constexpr (requires { command.header; }) {
      return state.ApplyChange(command, bytes);
    } else if constexpr (std::is_same_v<Command, Claim> ||
                         std::is_same_v<Command, ReleaseClaim> ||
                         std::is_same_v<Command, RecordClaim>) {
      return state.ApplyClaim(command);
    } else {
      return state.Apply(command);
    }
  }
};

schema::ControlResult State::Apply(std::uint64_t index, core::WallTime time,
                                   const std::string& bytes) {
  assert(index > index_ && "log entries are applied once and in order");
  index_ = index;
  time_ = std::max(time_, time);
  claims_.DropExpired(time_);
  results_.DropExpired(time_);
  const auto command = schema::Decode<schema::ControlCommand>(bytes);
  if (!command) return schema::MalformedResult{};
  return std::visit(Visitor{*this, bytes}, command.value());
}

template <class Change>
schema::ControlResult State::ApplyChange(const Change& change,
                                         const std::string& bytes) {
  const std::uint64_t digest = core::Hash(bytes);
  const schema::StoredResult* stored = results_.Find(change.header.change);
  if (stored != nullptr) {
    if (stored->digest == digest) return stored->result;
    schema::ChangeResult reused;
    reused.change = change.header.change;
    reused.status = schema::ChangeStatus::kReused;
    reused.revision = config_.revision();
    return reused;
  }
  schema::ChangeResult result = DecideChange(change);
  if (!change.header.change.empty()) results_.Add({time_, digest, result});
  return result;
}

template <class Change>
schema::ChangeResult State::DecideChange(const Change& change) {
  core::Findings findings = Validate(change);
  const bool current = change.header.expected_revision == config_.revision();
  if constexpr (std::is_same_v<Change, schema::Rollback>) {
    if (change.revision < base_.revision() ||
        change.revision > config_.revision()) {
      findings.push_back({"", 0, "revision", "is not in the kept history"});
    }
  } else if (current) {
    ValidateAgainst(config_, change, findings);
  }
  schema::ChangeResult result;
  if (!current) result = ConflictResult(change.header);
  for (const core::Finding& finding : findings) {
    result.findings.push_back({finding.path, finding.message});
  }
  result.change = change.header.change;
  result.revision = config_.revision();
  if (!current) return result;
  if (!findings.empty()) {
    result.status = schema::ChangeStatus::kInvalid;
    return result;
  }
  schema::ConfigEntry entry;
  entry.sequence = config_.sequence() + 1;
  entry.revision = config_.revision() + 1;
  entry.change = change.header.change;
  entry.author = change.header.author;
  entry.time = time_;
  FillChange(change, entry);
  Commit(std::move(entry));
  result.status = schema::ChangeStatus::kAccepted;
  result.revision = config_.revision();
  result.sequence = config_.sequence();
  return result;
}

schema::ChangeResult State::ConflictResult(
    const schema::ChangeHeader& header) const {
  schema::ChangeResult result;
  result.status = schema::ChangeStatus::kConflict;
  const auto winner = std::lower_bound(
      history_.begin(), history_.end(), header.expected_revision + 1,
      [](const schema::ConfigEntry& entry, std::uint64_t revision) {
        return entry.revision < revision;
      });
  if (winner != history_.end() &&
      winner->revision == header.expected_revision + 1) {
    result.winner = winner->change;
    result.winner_author = winner->author;
  }
  return result;
}

template <class Change>
void State::FillChange(const Change& change, schema::ConfigEntry& entry) const {
  if constexpr (std::is_same_v<Change, schema::Rollback>) {
    FillDifference(config_, ConfigAt(change.revision), entry);
  } else {
    FillEffect(change, entry);
  }
}

void State::Commit(schema::ConfigEntry entry) {
  config_.Apply(entry);
  feed_.Append(entry);
  if (entry.kind == schema::ChangeKind::kNone) return;
  history_.push_back(std::move(entry));
  if (history_.size() <= kMaxHistory) return;
  base_.ApplyEffect(history_.front());
  history_.pop_front();
}

Config State::ConfigAt(std::uint64_t revision) const {
  Config config = base_;
  for (const schema::ConfigEntry& entry : history_) {
    if (entry.revision > revision) break;
    config.ApplyEffect(entry);
  }
  return config;
}

schema::HostResult State::Apply(const schema::RegisterHost& command) {
  const schema::HostRecord* record = config_.FindHost(command.host);
  if (record == nullptr) {
    if (command.host.empty()) return {schema::HostStatus::kStale, 0};
    if (config_.hosts().size() >= kMaxHosts) {
      return {schema::HostStatus::kFull, 0};
    }
  } else if (command.incarnation < record->incarnation ||
             (command.incarnation == record->incarnation && !record->live)) {
    return {schema::HostStatus::kStale, record->incarnation};
  } else if (command.incarnation == record->incarnation) {
    return {schema::HostStatus::kApplied, record->incarnation};
  } else {
    claims_.EndIncarnation(command.host, record->incarnation);
  }
  CommitHost({command.host, command.incarnation, true, command.data_centre});
  return {schema::HostStatus::kApplied, command.incarnation};
}

schema::HostResult State::Apply(const schema::EndIncarnation& command) {
  const schema::HostRecord* record = config_.FindHost(command.host);
  if (record == nullptr) return {schema::HostStatus::kStale, 0};
  if (command.incarnation > record->incarnation) {
    return {schema::HostStatus::kStale, record->incarnation};
  }
  if (command.incarnation == record->incarnation && record->live) {
    claims_.EndIncarnation(command.host, command.incarnation);
    schema::HostRecord ended = *record;
    ended.live = false;
    CommitHost(std::move(ended));
  }
  return {schema::HostStatus::kApplied, command.incarnation};
}

void State::CommitHost(schema::HostRecord record) {
  schema::ConfigEntry entry;
  entry.sequence = config_.sequence() + 1;
  entry.revision = config_.revision();
  entry.time = time_;
  entry.hosts.push_back(std::move(record));
  Commit(std::move(entry));
}

template <class Command>
schema::ClaimResult State::ApplyClaim(const Command& command) {
  Subject subject;
  subject.workspace = command.workspace;
  subject.host = command.owner.host;
  const schema::HostRecord* record = config_.FindHost(command.owner.host);
  if (record != nullptr) subject.data_centre = record->data_centre;
  ClaimTable::Context context;
  context.time = time_;
  context.owner_live =
      config_.Live(command.owner.host, command.owner.incarnation);
  context.max_life = std::chrono::milliseconds(
      config_.Effective(schema::PolicyKey::kClaimMaxLife, subject));
  return claims_.Apply(command, context);
}

schema::FencingResult State::Apply(const schema::GrantFencing& command) {
  const schema::StoredGrant* grant = grants_.Find(command.upstream);
  const bool holder_live =
      grant != nullptr && config_.Live(grant->holder, grant->incarnation);
  return grants_.Apply(command, time_,
                       config_.Live(command.holder, command.incarnation),
                       holder_live);
}

schema::FleetResult State::Apply(const schema::PutFleet& command) {
  const bool newer = command.version > fleet_.version;
  if (newer) {
    fleet_history_.Add(fleet_.version, fleet_.fleet, command.fleet);
    fleet_ = command;
  }
  return {fleet_.version, newer};
}

schema::QuarantineResult State::Apply(const schema::PutQuarantine& command) {
  return quarantines_.Apply(command);
}

schema::QuarantineResult State::Apply(
    const schema::ReleaseQuarantine& command) {
  return quarantines_.Apply(command);
}

schema::ConfigReply State::Answer(const schema::ConfigPoll& poll,
                                  core::Duration age,
                                  std::size_t max_content) const {
  schema::ConfigReply reply = feed_.Answer(config_, poll, age);
  reply.fleet_version = fleet_.version;
  // A snapshot and a fleet configuration together may exceed the maximum frame
  // size; the fleet configuration is sent in the reply to the next poll.
  const bool behind = poll.fleet_version < fleet_.version;
  if (behind && !reply.snapshot) {
    fleet_history_.Write(fleet_.fleet, poll.fleet_version, reply, max_content);
  }
  reply.quarantine_version = quarantines().version;
  if (poll.quarantine_version < reply.quarantine_version) {
    reply.quarantines = quarantines();
  }
  return reply;
}

std::string State::Snapshot() const {
  schema::ControlSnapshot snapshot;
  snapshot.index = index_;
  snapshot.time = time_;
  snapshot.sequence = config_.sequence();
  snapshot.base = base_.Snapshot();
  for (const auto& [host, record] : config_.hosts()) {
    snapshot.hosts.push_back(record);
  }
  snapshot.history.assign(history_.begin(), history_.end());
  snapshot.results.assign(results_.results().begin(), results_.results().end());
  snapshot.claims = claims_.Save();
  snapshot.grants = grants_.Save();
  snapshot.fleet = fleet_;
  snapshot.quarantines = quarantines();
  return schema::Encode(snapshot);
}

core::Result<State> State::FromSnapshot(const std::string& bytes) {
  auto decoded = schema::Decode<schema::ControlSnapshot>(bytes);
  if (!decoded) {
    // A snapshot of a build without quarantines ends before their table.
    const std::string empty = schema::Encode(schema::QuarantineTable());
    decoded = schema::Decode<schema::ControlSnapshot>(
        bytes + empty.substr(internal::kArchiveHeaderBytes));
  }
  if (!decoded) return make_error_code(core::Error::kCorrupt);
  schema::ControlSnapshot& snapshot = decoded.value();
  State state;
  state.index_ = snapshot.index;
  state.time_ = snapshot.time;
  state.base_ = Config(snapshot.base);
  for (schema::ConfigEntry& entry : snapshot.history) {
    state.history_.push_back(std::move(entry));
  }
  Config config = state.base_;
  for (const schema::ConfigEntry& entry : state.history_) {
    config.ApplyEffect(entry);
  }
  schema::ConfigSnapshot current = config.Snapshot();
  current.sequence = snapshot.sequence;
  current.hosts = std::move(snapshot.hosts);
  state.config_ = Config(current);
  for (schema::StoredResult& result : snapshot.results) {
    state.results_.Add(std::move(result));
  }
  for (schema::StoredClaim& claim : snapshot.claims) {
    state.claims_.Restore(std::move(claim));
  }
  for (schema::StoredGrant& grant : snapshot.grants) {
    state.grants_.Restore(std::move(grant));
  }
  state.fleet_ = std::move(snapshot.fleet);
  state.quarantines_ = quarantine::Table(std::move(snapshot.quarantines));
  return state;
}

}  // namespace foxquay::control
