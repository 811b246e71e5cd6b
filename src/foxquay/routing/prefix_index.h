#ifndef FOXQUAY_ROUTING_PREFIX_INDEX_H_
#define FOXQUAY_ROUTING_PREFIX_INDEX_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "foxquay/routing/upstreams.h"

namespace foxquay::routing {

/// Returns hashes of the prefixes of a prompt, one for each whole block of it,
/// shortest prefix first. `scope` is hashed too, to keep models and adapters
/// apart.
[[nodiscard]] std::vector<std::uint64_t> PrefixHashes(std::string_view prompt,
                                                      std::string_view scope);

/// LRU index of the upstreams that probably have a prompt prefix in their
/// cache.
///
/// It is a hint: a wrong entry costs no more than a cache miss. Not
/// thread-safe.
class PrefixIndex {
 public:
  /// Keeps at most `capacity` prefixes.
  explicit PrefixIndex(std::size_t capacity) : capacity_(capacity) {}

  /// Records that upstreams ran a prompt with these prefixes.
  void Add(const std::vector<std::uint64_t>& hashes,
           const std::vector<UpstreamIndex>& upstreams);
  /// Returns the upstreams of the longest known prefix, most recent first, or
  /// an empty list. `hashes` are ordered as PrefixHashes returns them.
  [[nodiscard]] const std::vector<UpstreamIndex>& Find(
      const std::vector<std::uint64_t>& hashes) const;

  /// Returns the number of prefixes held.
  [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }

 private:
  struct Entry {
    std::uint64_t hash = 0;
    std::vector<UpstreamIndex> upstreams;
  };

  /// Returns the entry of a prefix, created if absent, as the most recent one.
  Entry& Touch(std::uint64_t hash);

  std::size_t capacity_;
  std::list<Entry> entries_;  ///< Most recently used first.
  std::unordered_map<std::uint64_t, std::list<Entry>::iterator> index_;
};

}  // namespace foxquay::routing

#endif  // FOXQUAY_ROUTING_PREFIX_INDEX_H_
