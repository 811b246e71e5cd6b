#ifndef FOXQUAY_CORE_LRU_MAP_H_
#define FOXQUAY_CORE_LRU_MAP_H_

#include <cstddef>
#include <list>
#include <map>
#include <utility>

namespace foxquay::core {

/// Map of bounded size that evicts its least recently used entry when full. Not
/// thread-safe.
template <class Key, class Value>
class LruMap {
 public:
  /// Precondition: `capacity` is positive.
  explicit LruMap(std::size_t capacity) : capacity_(capacity) {}

  /// Returns the value of a key, copied from `initial` if absent, and marks it
  /// as the most recently used.
  ///
  /// The reference is valid until the next call.
  Value& GetOrCreate(const Key& key, const Value& initial) {
    const auto found = index_.find(key);
    if (found != index_.end()) {
      entries_.splice(entries_.begin(), entries_, found->second);
      return found->second->second;
    }
    if (entries_.size() >= capacity_) {
      index_.erase(entries_.back().first);
      entries_.pop_back();
    }
    entries_.emplace_front(key, initial);
    index_.emplace(key, entries_.begin());
    return entries_.front().second;
  }

  /// Returns the value of a key, or null, without marking it as used.
  [[nodiscard]] const Value* Find(const Key& key) const {
    const auto found = index_.find(key);
    return found == index_.end() ? nullptr : &found->second->second;
  }

  /// Returns the number of entries.
  [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }

 private:
  using Entries = std::list<std::pair<Key, Value>>;

  std::size_t capacity_;
  Entries entries_;  ///< Most recently used first.
  std::map<Key, typename Entries::iterator> index_;
};

}  // namespace foxquay::core

#endif  // FOXQUAY_CORE_LRU_MAP_H_
