#ifndef FOXQUAY_CONSENSUS_QUORUM_H_
#define FOXQUAY_CONSENSUS_QUORUM_H_

#include <algorithm>
#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

#include "foxquay/schema/consensus.h"

namespace foxquay::consensus::internal {

/// Returns the voters of a configuration; in a joint configuration, those of
/// both voter sets.
[[nodiscard]] inline std::vector<schema::ReplicaId> AllVoters(
    const schema::Configuration& configuration) {
  std::vector<schema::ReplicaId> all = configuration.voters;
  for (const schema::ReplicaId& voter : configuration.previous) {
    if (std::find(all.begin(), all.end(), voter) == all.end()) {
      all.push_back(voter);
    }
  }
  return all;
}

/// Returns whether a replica is a voter in a configuration, joint or not.
[[nodiscard]] inline bool ContainsVoter(
    const schema::Configuration& configuration, const schema::ReplicaId& id) {
  const auto contains = [&id](const std::vector<schema::ReplicaId>& voters) {
    return std::find(voters.begin(), voters.end(), id) != voters.end();
  };
  return contains(configuration.voters) || contains(configuration.previous);
}

/// Returns the highest value that a majority of the voters has reached or
/// exceeded; in a joint configuration, that a majority of each voter set has.
/// Returns nullopt if fewer voters than a majority have a value.
///
/// `get` maps a ReplicaId to a std::optional<Value>.
template <class Value, class Get>
[[nodiscard]] std::optional<Value> QuorumValue(
    const schema::Configuration& configuration, const Get& get) {
  const auto majority_value =
      [&get](const std::vector<schema::ReplicaId>& voters) {
        std::vector<Value> values;
        for (const schema::ReplicaId& voter : voters) {
          const std::optional<Value> value = get(voter);
          if (value) values.push_back(*value);
        }
        const std::size_t needed = voters.size() / 2 + 1;
        if (values.size() < needed) return std::optional<Value>();
        std::sort(values.begin(), values.end(), std::greater<>());
        return std::optional<Value>(values[needed - 1]);
      };
  const std::optional<Value> current = majority_value(configuration.voters);
  if (!current || configuration.previous.empty()) return current;
  const std::optional<Value> previous = majority_value(configuration.previous);
  return previous ? std::min(*current, *previous) : previous;
}

}  // namespace foxquay::consensus::internal

#endif  // FOXQUAY_CONSENSUS_QUORUM_H_
