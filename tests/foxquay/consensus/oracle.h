#ifndef FOXQUAY_TESTS_CONSENSUS_ORACLE_H_
#define FOXQUAY_TESTS_CONSENSUS_ORACLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "foxquay/consensus/fwd.h"
#include "foxquay/consensus/progress.h"
#include "foxquay/core/time.h"

namespace foxquay::consensus {

/// State machine of a test: a running hash over all applied commands.
struct TestStateMachine {
  Index index = 0;
  std::uint64_t hash = 0;

  void Apply(Index at, const std::string& payload);
  [[nodiscard]] std::string Save() const;
  void Load(const std::string& data);
};

/// What must hold over all replicas: the plain list of committed commands,
/// the leader of each term and when each entry was committed.
class Oracle {
 public:
  /// Checks an applied command against the list, or extends the list.
  void CheckApplied(const TestStateMachine& machine, core::WallTime wall,
                    const std::string& payload);
  /// Checks a restored state against the list.
  void CheckRestored(Index index, const TestStateMachine& machine);
  /// Checks that a proposal reported as committed stands at its index.
  void CheckCommitted(Index index, const std::string& payload);
  /// Notes a proposal that may never commit.
  void Reject(const std::string& payload);
  /// Checks that a term has one leader.
  void CheckLeader(Term term, const schema::ReplicaId& leader);
  /// Notes a leader's commit index; returns whether it advanced.
  bool RecordCommit(Index commit, core::Instant real_time);
  /// Returns the last entry that was committed before an instant.
  [[nodiscard]] Index CommittedBefore(core::Instant real_time) const;

  [[nodiscard]] Index commit() const { return commits_.back().second; }
  [[nodiscard]] const std::string& violation() const { return violation_; }
  void Fail(const std::string& message);

 private:
  struct Entry {
    std::string payload;
    core::WallTime wall;
    std::uint64_t hash = 0;
  };

  std::map<Index, Entry> entries_;
  std::set<std::string> rejected_;
  std::map<Term, schema::ReplicaId> leaders_;
  std::vector<std::pair<core::Instant, Index>> commits_{{core::Instant(), 0}};
  std::string violation_;
};

}  // namespace foxquay::consensus

#endif  // FOXQUAY_TESTS_CONSENSUS_ORACLE_H_
