#include "oracle.h"

#include <algorithm>
#include <sstream>

#include "foxquay/core/hash.h"

namespace foxquay::consensus {

void TestStateMachine::Apply(Index at, const std::string& payload) {
  index = at;
  hash = core::Hash(payload, hash);
}

std::string TestStateMachine::Save() const {
  return std::to_string(index) + " " + std::to_string(hash);
}

void TestStateMachine::Load(const std::string& data) {
  std::istringstream(data) >> index >> hash;
}

void Oracle::Fail(const std::string& message) {
  if (violation_.empty()) violation_ = message;
}

void Oracle::CheckApplied(const TestStateMachine& machine, core::WallTime wall,
                          const std::string& payload) {
  const auto found = entries_.find(machine.index);
  if (found != entries_.end()) {
    const Entry& entry = found->second;
    if (entry.payload != payload || entry.wall != wall) {
      Fail("a committed entry was replaced at " +
           std::to_string(machine.index) + ": " + entry.payload + " by " +
           payload);
    } else if (entry.hash != machine.hash) {
      Fail("a replica skipped a committed entry");
    }
    return;
  }
  if (!entries_.empty()) {
    const auto& [last, entry] = *entries_.rbegin();
    if (last > machine.index) Fail("an entry was committed out of order");
    if (entry.wall > wall) Fail("the wall-clock time decreased along the log");
  }
  if (rejected_.contains(payload)) Fail("a rejected proposal was committed");
  entries_[machine.index] = {payload, wall, machine.hash};
}

void Oracle::CheckRestored(Index index, const TestStateMachine& machine) {
  auto after = entries_.upper_bound(index);
  const std::uint64_t hash =
      after == entries_.begin() ? 0 : std::prev(after)->second.hash;
  if (hash != machine.hash) Fail("a restored state differs from the log");
}

void Oracle::CheckCommitted(Index index, const std::string& payload) {
  const auto found = entries_.find(index);
  if (found == entries_.end() || found->second.payload != payload) {
    Fail("a proposal reported as committed is not at its index");
  }
}

void Oracle::Reject(const std::string& payload) { rejected_.insert(payload); }

void Oracle::CheckLeader(Term term, const schema::ReplicaId& leader) {
  if (leaders_.emplace(term, leader).first->second != leader) {
    Fail("two leaders in term " + std::to_string(term));
  }
}

bool Oracle::RecordCommit(Index commit, core::Instant real_time) {
  if (commit <= commits_.back().second) return false;
  commits_.emplace_back(real_time, commit);
  return true;
}

Index Oracle::CommittedBefore(core::Instant real_time) const {
  const auto after = std::lower_bound(
      commits_.begin(), commits_.end(), real_time,
      [](const auto& commit, core::Instant at) { return commit.first < at; });
  return after == commits_.begin() ? 0 : std::prev(after)->second;
}

}  // namespace foxquay::consensus
