#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "member.h"

namespace foxquay::consensus {
namespace {

using std::chrono::milliseconds;

/// A group in which the first replica starts with an entry that the others
/// drop, as builds with a lower limit on messages do.
class JammedGroup {
 public:
  /// With `readable` above kLimit, replicas state that they read more.
  explicit JammedGroup(std::size_t voters, std::size_t readable = kLimit,
                       bool jammed = true) {
    schema::SnapshotMeta meta;
    for (std::size_t index = 0; index < voters; ++index) {
      meta.configuration.voters.push_back({Name(index), 1});
    }
    for (std::size_t index = 0; index < voters; ++index) {
      Options options;
      options.self = meta.configuration.voters[index];
      options.limits.max_payload_bytes = readable;
      options.limits.max_readable_bytes = readable;
      options.limits.basic_payload_bytes = kLimit;
      options.seed = index + 1;
      PersistentState state;
      state.term = 1;
      state.snapshot.meta = meta;
      if (index == 0 && jammed) {
        state.entries = {
            {1, schema::EntryKind::kCommand, {}, std::string(kLimit + 1, 'x')}};
      }
      members_.try_emplace(Name(index), std::move(options), std::move(state));
    }
  }

  void Run(milliseconds span) {
    for (const core::Instant end = now_ + span; now_ < end;) {
      now_ += milliseconds(10);
      for (auto& [name, member] : members_) member.Handle(Tick{}, now_);
      for (auto& [name, member] : members_) {
        for (Send& send : std::exchange(member.sent, {})) {
          if (basic_ && send.to == *basic_ && IsLarge(send)) ++sent_to_basic_;
          if (IsDropped(name, send)) continue;
          members_.at(send.to).Handle(Received{std::move(send.message)}, now_);
        }
      }
    }
  }

  /// Makes the last replica one of a build that states no limit.
  void MakeLastBasic() { basic_ = members_.rbegin()->first; }

  /// Proposes a command of `bytes` to the leader.
  void Propose(std::size_t bytes) {
    for (auto& [name, member] : members_) {
      if (member.replica().role() != Role::kLeader) continue;
      member.Handle(
          consensus::Propose{ProposalId(1), std::string(bytes, 'x'), {}}, now_);
    }
  }
  /// Returns the messages with large entries that were sent to it.
  [[nodiscard]] int sent_to_basic() const { return sent_to_basic_; }
  [[nodiscard]] Index applied(std::size_t index) const {
    return members_.at(Name(index)).replica().applied();
  }
  [[nodiscard]] Index commit() const {
    Index commit = 0;
    for (const auto& [name, member] : members_) {
      commit = std::max(commit, member.replica().commit());
    }
    return commit;
  }

  /// Proposes a command to each replica and returns how many commit it within
  /// ten seconds.
  std::size_t Commits() {
    std::map<core::HostId, Index> before;
    for (auto& [name, member] : members_) {
      before[name] = member.replica().commit();
      member.Handle(consensus::Propose{ProposalId(1), "small", {}}, now_);
    }
    Run(std::chrono::seconds(10));
    return static_cast<std::size_t>(
        std::count_if(members_.begin(), members_.end(), [&](const auto& item) {
          return item.second.replica().commit() > before[item.first];
        }));
  }

  static constexpr std::size_t kLimit = 1000;

 private:
  static core::HostId Name(std::size_t index) {
    return core::HostId("h" + std::to_string(index));
  }
  /// Returns whether the receiver drops a message that it cannot read.
  bool IsDropped(const core::HostId& from, const Send& send) const {
    const bool tells = std::holds_alternative<schema::EntryLimit>(send.message);
    if (!basic_) return IsLarge(send);
    const bool to_basic = send.to == *basic_ && (tells || IsLarge(send));
    return to_basic || (tells && from == *basic_);
  }
  static bool IsLarge(const Send& send) {
    const auto* append = std::get_if<schema::AppendRequest>(&send.message);
    return append != nullptr &&
           std::any_of(append->entries.begin(), append->entries.end(),
                       [](const schema::LogEntry& entry) {
                         return entry.payload.size() > kLimit;
                       });
  }

  std::map<core::HostId, Member> members_;
  std::optional<core::HostId> basic_;
  int sent_to_basic_ = 0;
  core::Instant now_ = core::Instant(std::chrono::seconds(1));
};

}  // namespace

// A leader sent an entry that its followers dropped for ever, and no later one
// was committed.
TEST_CASE("an entry that the others cannot read does not stop the log") {
  JammedGroup group(GENERATE(3, 5));
  group.Run(std::chrono::seconds(20));
  CHECK(group.Commits() >= 2);
}

// Guards against a command that is taken although a replica cannot read it and
// then stays without it.
TEST_CASE("a replica that cannot read an entry gets the snapshot with it") {
  JammedGroup group(3, 3 * JammedGroup::kLimit, false);
  group.MakeLastBasic();
  group.Run(std::chrono::seconds(5));
  group.Propose(2 * JammedGroup::kLimit);
  group.Run(std::chrono::seconds(3));
  CHECK(group.sent_to_basic() == 0);
  const Index commit = group.commit();
  for (std::size_t index = 0; index < 3; ++index) {
    CHECK(group.applied(index) == commit);
  }
  CHECK(group.Commits() == 3);
}

TEST_CASE("a command that no quorum reads is refused") {
  JammedGroup group(3, JammedGroup::kLimit, false);
  group.Run(std::chrono::seconds(5));
  const Index before = group.commit();
  group.Propose(JammedGroup::kLimit + 1);
  group.Run(std::chrono::seconds(3));
  CHECK(group.commit() == before);
  CHECK(group.Commits() == 3);
}

}  // namespace foxquay::consensus
