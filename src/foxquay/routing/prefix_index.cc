#include "foxquay/routing/prefix_index.h"

#include <algorithm>

#include "foxquay/core/hash.h"

namespace foxquay::routing {
namespace internal {

/// Bytes of a block: about 128 tokens. Inference engines cache blocks of 16 to
/// 128 tokens.
constexpr std::size_t kBlockBytes = 512;
/// Blocks that are hashed; prompts that differ only after them share all
/// hashes.
constexpr std::size_t kMaxBlocks = 16;
/// Upstreams kept per prefix, enough for a few chains.
constexpr std::size_t kMaxHolders = 16;

}  // namespace internal

std::vector<std::uint64_t> PrefixHashes(std::string_view prompt,
                                        std::string_view scope) {
  const std::size_t blocks =
      std::min(prompt.size() / internal::kBlockBytes, internal::kMaxBlocks);
  std::vector<std::uint64_t> hashes(blocks);
  std::uint64_t hash = core::Hash(scope);
  for (std::size_t i = 0; i < blocks; ++i) {
    hash = core::Hash(
        prompt.substr(i * internal::kBlockBytes, internal::kBlockBytes), hash);
    hashes[i] = hash;
  }
  return hashes;
}

void PrefixIndex::Add(const std::vector<std::uint64_t>& hashes,
                      const std::vector<UpstreamIndex>& upstreams) {
  for (const std::uint64_t hash : hashes) {
    std::vector<UpstreamIndex>& known = Touch(hash).upstreams;
    std::erase_if(known, [&](UpstreamIndex index) {
      return std::find(upstreams.begin(), upstreams.end(), index) !=
             upstreams.end();
    });
    known.insert(known.begin(), upstreams.begin(), upstreams.end());
    known.resize(std::min(known.size(), internal::kMaxHolders));
  }
}

PrefixIndex::Entry& PrefixIndex::Touch(std::uint64_t hash) {
  const auto found = index_.find(hash);
  if (found != index_.end()) {
    entries_.splice(entries_.begin(), entries_, found->second);
    return entries_.front();
  }
  if (entries_.size() >= capacity_) {
    index_.erase(entries_.back().hash);
    entries_.pop_back();
  }
  entries_.push_front({hash, {}});
  index_.emplace(hash, entries_.begin());
  return entries_.front();
}

const std::vector<UpstreamIndex>& PrefixIndex::Find(
    const std::vector<std::uint64_t>& hashes) const {
  static const std::vector<UpstreamIndex> kNone;
  for (auto hash = hashes.rbegin(); hash != hashes.rend(); ++hash) {
    const auto found = index_.find(*hash);
    if (found != index_.end()) return found->second->upstreams;
  }
  return kNone;
}

}  // namespace foxquay::routing
