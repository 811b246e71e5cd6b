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

/// State machine under replication: a running hash over all applied commands.
struct TestStateMachine {
  Index index = 0;  ///< Last applied command.
  std::uint64_t hash = 0;

  void Apply(Index at, const std::string& payload);
  [[nodiscard]] std::string Save() const;
  void Load(const std::string& data);
};

/// Test oracle for the invariants across all replicas. Records the committed
/// commands, the leader of each term and when the commit index advanced, and
/// keeps the first violation.
class Oracle {
 public:
  /// Checks the command that `machine` just applied against the recorded one;
  /// records it if it is the first one applied at its index.
  void CheckApplied(const TestStateMachine& machine, core::WallTime wall,
                    const std::string& payload);
  /// Checks a state that was restored up to `index` against the recorded
  /// commands.
  void CheckRestored(Index index, const TestStateMachine& machine);
  /// Checks that a proposal reported as committed is recorded at `index`.
  void CheckCommitted(Index index, const std::string& payload);
  /// Records a rejected proposal, which must never commit.
  void Reject(const std::string& payload);
  /// Checks that no other replica led in `term`.
  void CheckLeader(Term term, const schema::ReplicaId& leader);
  /// Records a leader's commit index; returns whether it exceeds all earlier
  /// ones. `real_time` is the time of the simulation.
  bool RecordCommit(Index commit, core::Instant real_time);
  /// Returns the highest commit index recorded before `real_time`.
  [[nodiscard]] Index CommittedBefore(core::Instant real_time) const;

  /// Returns the highest recorded commit index.
  [[nodiscard]] Index commit() const { return commits_.back().second; }
  /// Returns the first violation; empty if there is none.
  [[nodiscard]] const std::string& violation() const { return violation_; }
  /// Records a violation unless there is one already.
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
