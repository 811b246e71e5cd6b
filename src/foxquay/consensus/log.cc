#include "foxquay/consensus/log.h"

#include <algorithm>
#include <cassert>
#include <iterator>

#include "foxquay/schema/codec.h"

namespace foxquay::consensus::internal {
Log::Log(const schema::SnapshotMeta& base,
         std::vector<schema::LogEntry> entries)
    : base_(base.index), base_term_(base.term), base_wall_(base.wall) {
  configurations_.emplace_back(base.index, base.configuration);
  for (schema::LogEntry& entry : entries) Append(std::move(entry));
}

std::optional<Term> Log::TermAt(Index index) const {
  if (index == base_) return base_term_;
  if (index < base_ || index > last()) return std::nullopt;
  return At(index).term;
}

core::WallTime Log::WallAt(Index index) const {
  return index == base_ ? base_wall_ : At(index).wall;
}

const schema::LogEntry& Log::At(Index index) const {
  assert(index > base_ && index <= last() &&
         "the index must lie within the log");
  return entries_[index - base_ - 1];
}

void Log::Append(schema::LogEntry entry) {
  bytes_ += entry.payload.size();
  entries_.push_back(std::move(entry));
  RecordConfiguration(last(), entries_.back());
}

void Log::TruncateFrom(Index index) {
  assert(index > base_ && "entries up to the base must not be truncated");
  if (index > last()) return;
  for (Index removed = index; removed <= last(); ++removed) {
    bytes_ -= At(removed).payload.size();
  }
  entries_.resize(index - base_ - 1);
  while (configurations_.back().first >= index) configurations_.pop_back();
}

void Log::Compact(Index index) {
  if (index <= base_) return;
  assert(index <= last() && "only existing entries can be compacted");
  base_term_ = At(index).term;
  base_wall_ = At(index).wall;
  for (Index removed = base_ + 1; removed <= index; ++removed) {
    bytes_ -= At(removed).payload.size();
  }
  entries_.erase(
      entries_.begin(),
      std::next(entries_.begin(), static_cast<std::ptrdiff_t>(index - base_)));
  base_ = index;
  while (configurations_.size() > 1 && configurations_[1].first <= index) {
    configurations_.erase(configurations_.begin());
  }
}

const schema::Configuration& Log::ConfigurationAt(Index index) const {
  std::size_t position = configurations_.size() - 1;
  while (position > 0 && configurations_[position].first > index) --position;
  return configurations_[position].second;
}

std::vector<core::HostId> Log::HomeHosts() const {
  // A replica takes over the position of the one that it replaces.
  const schema::Configuration& first = configurations_.front().second;
  const auto& voters = first.previous.empty() ? first.voters : first.previous;
  std::vector<core::HostId> home;
  home.reserve(voters.size());
  for (const schema::ReplicaId& voter : voters) home.push_back(voter.host);
  for (const auto& [index, configuration] : configurations_) {
    for (std::size_t i = home.size(); i < configuration.voters.size(); ++i) {
      home.push_back(configuration.voters[i].host);
    }
  }
  return home;
}

std::optional<schema::ReplicaId> Log::StandInOf(
    const core::HostId& host) const {
  const std::vector<core::HostId> home = HomeHosts();
  const auto& voters = configuration().voters;
  const auto own = std::find(home.begin(), home.end(), host);
  const bool votes = std::any_of(
      voters.begin(), voters.end(),
      [&host](const schema::ReplicaId& voter) { return voter.host == host; });
  if (own == home.end() || votes) return std::nullopt;
  const auto is_away = [&home](const schema::ReplicaId& voter) {
    return std::find(home.begin(), home.end(), voter.host) == home.end();
  };
  const auto position = static_cast<std::size_t>(own - home.begin());
  if (position < voters.size() && is_away(voters[position])) {
    return voters[position];
  }
  const auto away = std::find_if(voters.begin(), voters.end(), is_away);
  return away == voters.end() ? std::nullopt : std::optional(*away);
}

void Log::RecordConfiguration(Index index, const schema::LogEntry& entry) {
  if (entry.kind != schema::EntryKind::kConfiguration) return;
  auto decoded = schema::Decode<schema::Configuration>(entry.payload);
  assert(decoded && "a leader writes well-formed configurations");
  if (decoded) {
    configurations_.emplace_back(index, std::move(decoded.value()));
  }
}

}  // namespace foxquay::consensus::internal
