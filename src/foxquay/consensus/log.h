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

/// In-memory suffix of the log. Entries up to the base have been compacted
/// away; the configurations among the kept entries are indexed.
class Log {
 public:
  /// Starts with `entries` right after the entry that `base` describes.
  Log(const schema::SnapshotMeta& base, std::vector<schema::LogEntry> entries);

  /// Returns the index of the last compacted entry, which precedes the first
  /// one that is kept.
  [[nodiscard]] Index base() const noexcept { return base_; }
  /// Returns the index of the last entry, or the base if none is kept.
  [[nodiscard]] Index last() const noexcept { return base_ + entries_.size(); }
  /// Returns the bytes of the payloads that are kept.
  [[nodiscard]] std::size_t bytes() const noexcept { return bytes_; }
  /// Returns the term of the entry at `index` or of the base; nullopt if the
  /// entry is compacted or does not exist.
  [[nodiscard]] std::optional<Term> TermAt(Index index) const;
  /// Returns the wall-clock time of the base or of an entry.
  ///
  /// Precondition: base() <= index <= last().
  [[nodiscard]] core::WallTime WallAt(Index index) const;
  /// Returns the entry at `index`. Precondition: base() < index <= last().
  [[nodiscard]] const schema::LogEntry& At(Index index) const;

  /// Appends an entry after the last one.
  void Append(schema::LogEntry entry);
  /// Removes the entry at `index` and all later ones, if any.
  ///
  /// Precondition: index > base().
  void TruncateFrom(Index index);
  /// Discards the entries up to and including `index`, which becomes the base.
  /// Does nothing if `index` is not after the base.
  ///
  /// Precondition: index <= last().
  void Compact(Index index);

  /// Returns the latest configuration, committed or not.
  [[nodiscard]] const schema::Configuration& configuration() const noexcept {
    return configurations_.back().second;
  }
  /// Returns the index of the entry that holds the latest configuration.
  [[nodiscard]] Index configuration_index() const noexcept {
    return configurations_.back().first;
  }
  /// Returns the configuration that applies as of the entry at `index`.
  [[nodiscard]] const schema::Configuration& ConfigurationAt(Index index) const;
  /// Returns the voter that stands in for a host that had a vote before: one on
  /// a host that had none when the kept part of the log began and that has got
  /// it from another one since. Returns nullopt if there is none, or if the
  /// host has a vote.
  [[nodiscard]] std::optional<schema::ReplicaId> StandInOf(
      const core::HostId& host) const;

 private:
  /// Returns the hosts of the voters at the base and of those that were added
  /// since, not in exchange for others; by position in the configuration.
  [[nodiscard]] std::vector<core::HostId> HomeHosts() const;
  void RecordConfiguration(Index index, const schema::LogEntry& entry);

  Index base_ = 0;
  Term base_term_ = 0;
  core::WallTime base_wall_{};
  std::deque<schema::LogEntry> entries_;
  std::size_t bytes_ = 0;  ///< Of their payloads.
  /// Configurations by ascending index; the first one applies at the base.
  std::vector<std::pair<Index, schema::Configuration>> configurations_;
};

}  // namespace foxquay::consensus::internal

#endif  // FOXQUAY_CONSENSUS_LOG_H_
