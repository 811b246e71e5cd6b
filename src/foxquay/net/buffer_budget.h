#ifndef FOXQUAY_NET_BUFFER_BUDGET_H_
#define FOXQUAY_NET_BUFFER_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/net/fwd.h"

namespace foxquay::net {

struct BufferOwnerTag;

/// Identifies a server whose connections a BufferBudget counts.
using BufferOwnerId = core::NumericId<BufferOwnerTag>;

/// What all connections from callers of a process may use together.
struct BufferLimits {
  std::size_t bytes = 0;        ///< Of memory.
  std::size_t connections = 0;  ///< Each takes a file descriptor.
};

/// What a connection uses.
struct BufferUse {
  std::size_t bytes = 0;    ///< Of buffers and of the request.
  std::size_t serving = 0;  ///< Part of `bytes`: the request being answered.
  /// Whether the connection may be closed for others: its request is not
  /// complete, or its caller does not read.
  bool evictable = false;
  /// Since when it has been so.
  core::Instant since;

  friend bool operator==(const BufferUse&, const BufferUse&) = default;
};

/// Bounds the memory and the descriptors that callers take, over all servers of
/// a process.
///
/// Load: more callers than the machine has memory for, each within the limits
/// of a single request, that send large bodies and do not complete them, or do
/// not read responses. The connections with the most bytes are closed first, so
/// that callers with small requests are served; a complete large request is
/// refused while others take half of the memory.
///
/// Performs no I/O. Not thread-safe.
class BufferBudget {
 public:
  /// Closes a connection of an owner, which may refuse its request; must set
  /// the use of the connection to none (Remove).
  using EvictHandler = std::function<void(SocketId)>;

  /// Precondition: both limits are greater than zero.
  explicit BufferBudget(const BufferLimits& limits) : limits_(limits) {}
  BufferBudget(const BufferBudget&) = delete;
  BufferBudget& operator=(const BufferBudget&) = delete;

  /// Adds a server. Precondition: `evict` can be called during Enforce.
  [[nodiscard]] BufferOwnerId AddOwner(EvictHandler evict);

  /// Sets what a connection uses.
  void Set(BufferOwnerId owner, SocketId socket, const BufferUse& use);
  /// Removes a connection; does nothing if it is unknown.
  void Remove(BufferOwnerId owner, SocketId socket);

  /// Returns whether a complete request that takes `bytes` while it is answered
  /// is admitted; counts it if not. Small ones find room beside larger ones,
  /// which may take a part of the memory only. Three quarters of the
  /// connections may be answered at once, as each needs one to an upstream.
  [[nodiscard]] bool Admit(std::size_t bytes) noexcept;

  /// Returns whether a limit is exceeded and connections can be closed.
  [[nodiscard]] bool exceeded() const noexcept;
  /// Closes connections until no limit is exceeded or none is left that may be
  /// closed: for memory the one that uses the most first, for descriptors the
  /// one that has waited longest.
  void Enforce();

  [[nodiscard]] const BufferLimits& limits() const noexcept { return limits_; }
  /// Returns the bytes in use.
  [[nodiscard]] std::size_t held() const noexcept { return held_; }
  [[nodiscard]] std::size_t connections() const noexcept {
    return uses_.size();
  }
  /// Returns how many connections were closed by Enforce.
  [[nodiscard]] std::uint64_t evicted() const noexcept { return evicted_; }
  /// Returns how many complete requests were not admitted.
  [[nodiscard]] std::uint64_t refused() const noexcept { return refused_; }

 private:
  using Key = std::pair<BufferOwnerId, SocketId>;

  void Evict(const Key& key);

  const BufferLimits limits_;
  std::vector<EvictHandler> owners_;
  std::map<Key, BufferUse> uses_;
  // The connections that may be closed.
  std::set<std::pair<std::size_t, Key>> by_size_;
  std::set<std::pair<core::Instant, Key>> by_age_;
  std::size_t held_ = 0;
  std::size_t serving_ = 0;  ///< Bytes of requests that are being answered.
  std::size_t served_connections_ = 0;
  std::uint64_t evicted_ = 0;
  std::uint64_t refused_ = 0;
};

}  // namespace foxquay::net

#endif  // FOXQUAY_NET_BUFFER_BUDGET_H_
