#ifndef FOXQUAY_CONSENSUS_LOG_H_
#define FOXQUAY_CONSENSUS_LOG_H_

#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "foxquay/consensus/fwd.h"
#include "foxquay/core/time.h"
#include "foxquay/schema/consensus.h"

namespace foxquay::consensus::internal {

/// Entries behind a base, in memory, with the configurations among them.
class Log {
 public:
  /// Starts behind a snapshot.
  Log(const schema::SnapshotMeta& base, std::vector<schema::LogEntry> entries);

  /// Returns the index before the first entry that is kept.
  [[nodiscard]] Index base() const noexcept { return base_; }
  /// Returns the index of the last entry.
  [[nodiscard]] Index last() const noexcept { return base_ + entries_.size(); }
  /// Returns the term of an entry or of the base; nothing if not kept.
  [[nodiscard]] std::optional<Term> TermAt(Index index) const;
  /// Returns the wall time of the base or an entry. Precondition: it is kept.
  [[nodiscard]] core::WallTime WallAt(Index index) const;
  /// Returns an entry. Precondition: base() < index <= last().
  [[nodiscard]] const schema::LogEntry& At(Index index) const;

  /// Adds an entry behind the last one.
  void Append(schema::LogEntry entry);
  /// Removes the entries from `index` on. Precondition: index > base().
  void TruncateFrom(Index index);
  /// Moves the base forward to `index`; no effect if it is not ahead.
  void Compact(Index index);

  /// Returns the latest configuration.
  [[nodiscard]] const schema::Configuration& configuration() const noexcept {
    return configurations_.back().second;
  }
  /// Returns the index of the latest configuration.
  [[nodiscard]] Index configuration_index() const noexcept {
    return configurations_.back().first;
  }
  /// Returns the configuration in force at an entry.
  [[nodiscard]] const schema::Configuration& ConfigurationAt(Index index) const;

 private:
  void RecordConfiguration(Index index, const schema::LogEntry& entry);

  Index base_ = 0;
  Term base_term_ = 0;
  core::WallTime base_wall_{};
  std::deque<schema::LogEntry> entries_;
  /// Ordered by index; the first one is in force at the base.
  std::vector<std::pair<Index, schema::Configuration>> configurations_;
};

}  // namespace foxquay::consensus::internal

#endif  // FOXQUAY_CONSENSUS_LOG_H_
