#ifndef FOXQUAY_CONTROL_CLAIMS_H_
#define FOXQUAY_CONTROL_CLAIMS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "foxquay/core/error.h"
#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/schema/control.h"

namespace foxquay::control {

/// Most claims kept at once; a claim beyond it is refused.
inline constexpr std::size_t kMaxClaims = 200'000;
/// Most bytes of recorded bodies kept; beyond it only status and digest are.
inline constexpr std::size_t kMaxClaimBodyBytes = 64U << 20U;

/// Returns the expiry that an idempotency key `<expiry, unix seconds>.<unique>`
/// shows; Error::kMalformed if it has another form. Thread-safe.
[[nodiscard]] core::Result<core::WallTime> ParseClaimKey(std::string_view key);

/// Claimed idempotency keys and their outcomes until they expire.
///
/// A key that may have been dispatched never becomes free again: only the
/// owning attempt releases it, and only while it is claimed.
/// Not thread-safe.
class ClaimTable {
 public:
  /// Rules that the log entry and the rest of the state set for a command.
  struct Context {
    core::WallTime time;        ///< Wall time of the entry.
    bool owner_live = false;    ///< Whether the owner's incarnation is live.
    core::Duration max_life{};  ///< Longest life of a new key.
  };

  /// Claims a key, or reports who or what holds it.
  schema::ClaimResult Apply(const schema::Claim& claim, const Context& context);

  /// Gives back a key. If the claim is not known yet, it is refused later.
  schema::ClaimResult Apply(const schema::ReleaseClaim& release,
                            const Context& context);

  /// Records an outcome; allowed for the owner also after its incarnation
  /// ended. The first complete answer is kept.
  schema::ClaimResult Apply(const schema::RecordClaim& record,
                            const Context& context);

  /// Turns the open claims of incarnations up to `incarnation` into unknown.
  void EndIncarnation(const core::HostId& host, std::uint64_t incarnation);

  /// Drops the claims whose key has expired.
  void DropExpired(core::WallTime now);

  /// Returns a claim, or null.
  [[nodiscard]] const schema::StoredClaim* Find(
      const core::WorkspaceId& workspace, const std::string& key) const;

  [[nodiscard]] std::size_t size() const noexcept { return claims_.size(); }

  /// Returns all claims in key order.
  [[nodiscard]] std::vector<schema::StoredClaim> Save() const;

  /// Adds a claim from a snapshot.
  void Restore(schema::StoredClaim claim);

 private:
  using Key = std::pair<core::WorkspaceId, std::string>;

  schema::StoredClaim* FindMutable(const core::WorkspaceId& workspace,
                                   const std::string& key);
  schema::ClaimResult ApplyToExisting(const schema::Claim& claim,
                                      const Context& context,
                                      schema::StoredClaim& existing);
  schema::ClaimResult Insert(schema::StoredClaim claim, core::WallTime expiry);
  void StoreResponse(const schema::RecordClaim& record,
                     schema::StoredClaim& claim);

  std::map<Key, schema::StoredClaim> claims_;
  std::set<std::pair<core::WallTime, Key>> expiries_;
  std::size_t body_bytes_ = 0;
};

}  // namespace foxquay::control

#endif  // FOXQUAY_CONTROL_CLAIMS_H_
