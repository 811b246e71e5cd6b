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

/// Hashes of the prefixes of a prompt, one for each whole block, shortest
/// first. `scope` keeps models and adapters apart.
[[nodiscard]] std::vector<std::uint64_t> PrefixHashes(std::string_view prompt,
                                                      std::string_view scope);

/// Upstreams that are expected to hold the cache of a prefix.
///
/// Keeps the prefixes used last. A wrong entry costs a cache miss only.
class PrefixIndex {
 public:
  /// Keeps at most `capacity` prefixes.
  explicit PrefixIndex(std::size_t capacity) : capacity_(capacity) {}

  /// Notes that upstreams ran a prompt.
  void Add(const std::vector<std::uint64_t>& hashes,
           const std::vector<UpstreamIndex>& upstreams);
  /// Returns the upstreams of the longest known prefix, the last one first.
  [[nodiscard]] const std::vector<UpstreamIndex>& Find(
      const std::vector<std::uint64_t>& hashes) const;

  [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }

 private:
  struct Entry {
    std::uint64_t hash = 0;
    std::vector<UpstreamIndex> upstreams;
  };

  Entry& Touch(std::uint64_t hash);

  std::size_t capacity_;
  std::list<Entry> entries_;  ///< Last used first.
  std::unordered_map<std::uint64_t, std::list<Entry>::iterator> index_;
};

}  // namespace foxquay::routing

#endif  // FOXQUAY_ROUTING_PREFIX_INDEX_H_
