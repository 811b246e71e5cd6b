#include "foxquay/net/buffer_budget.h"

#include <algorithm>
#include <iterator>

namespace foxquay::net {
namespace internal {

/// Sizes above which a request is large, or not small: a usual request has a
/// head and a body of some kilobytes.
constexpr std::size_t kLargeRequestBytes = 65536;
constexpr std::size_t kSmallRequestBytes = 8192;

/// Part of the connections that are closed at once when there are too many, so
/// that not each further one closes another.
constexpr std::size_t kEvictedPart = 16;

}  // namespace internal

BufferOwnerId BufferBudget::AddOwner(EvictHandler evict) {
  owners_.push_back(std::move(evict));
  return BufferOwnerId(owners_.size() - 1);
}

void BufferBudget::Set(BufferOwnerId owner, SocketId socket,
                       const BufferUse& use) {
  const Key key{owner, socket};
  BufferUse& current = uses_[key];
  if (current == use) return;
  held_ = held_ - current.bytes + use.bytes;
  serving_ = serving_ - current.serving + use.serving;
  served_connections_ =
      served_connections_ - (current.serving > 0) + (use.serving > 0);
  if (current.evictable) {
    by_size_.erase({current.bytes, key});
    by_age_.erase({current.since, key});
  }
  if (use.evictable) {
    by_size_.emplace(use.bytes, key);
    by_age_.emplace(use.since, key);
  }
  current = use;
}

void BufferBudget::Remove(BufferOwnerId owner, SocketId socket) {
  Set(owner, socket, {});
  uses_.erase({owner, socket});
}

bool BufferBudget::Admit(std::size_t bytes) noexcept {
  std::size_t available = limits_.bytes;
  if (bytes > internal::kLargeRequestBytes) {
    available = limits_.bytes / 2;
  } else if (bytes > internal::kSmallRequestBytes) {
    available = limits_.bytes / 4 * 3;
  }
  const bool room = serving_ + bytes <= available &&
                    served_connections_ <
                        std::max<std::size_t>(limits_.connections / 4 * 3, 1);
  // A single request finds room whatever its size.
  if (room || served_connections_ == 0) return true;
  ++refused_;
  return false;
}

bool BufferBudget::exceeded() const noexcept {
  const bool over = held_ > limits_.bytes || uses_.size() > limits_.connections;
  return over && !by_size_.empty();
}

void BufferBudget::Enforce() {
  while (held_ > limits_.bytes && !by_size_.empty()) {
    Evict(std::prev(by_size_.end())->second);
  }
  if (uses_.size() <= limits_.connections) return;
  const std::size_t kept =
      limits_.connections - limits_.connections / internal::kEvictedPart;
  while (uses_.size() > kept && !by_age_.empty()) {
    Evict(by_age_.begin()->second);
  }
}

void BufferBudget::Evict(const Key& key) {
  const Key victim = key;
  ++evicted_;
  owners_[victim.first.value()](victim.second);
  // An owner that keeps the connection would be asked for it without end.
  Remove(victim.first, victim.second);
}

}  // namespace foxquay::net
