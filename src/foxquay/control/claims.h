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

/// Maximum number of claims; further ones are refused.
inline constexpr std::size_t kMaxClaims = 200'000;
/// Maximum total size of recorded response bodies; beyond it, only the status
/// and the digest of a response are recorded.
inline constexpr std::size_t kMaxClaimBodyBytes = 64U << 20U;

/// Returns the expiry contained in an idempotency key of the form
/// `<expiry in seconds of Unix time>.<unique part>`; Error::kMalformed if the
/// key has another form. Thread-safe.
[[nodiscard]] core::Result<core::WallTime> ParseClaimKey(std::string_view key);

/// Claimed idempotency keys and the outcomes of their requests, until the keys
/// expire.
///
/// A key whose request may have been dispatched is never released: only the
/// attempt that owns a claim releases it, and only in the state kClaimed.
/// Not thread-safe.
class ClaimTable {
 public:
  /// Conditions under which a command is applied, from its log entry and the
  /// rest of the state.
  struct Context {
    core::WallTime time;        ///< Wall time of the log entry.
    bool owner_live = false;    ///< Whether the owner's incarnation is live.
    core::Duration max_life{};  ///< Maximum time until a new key expires.
  };

  /// Claims a key, or returns the state of the existing claim.
  schema::ClaimResult Apply(const schema::Claim& claim, const Context& context);

  /// Releases a key. If the release arrives before its claim, the claim is
  /// refused when it arrives.
  schema::ClaimResult Apply(const schema::ReleaseClaim& release,
                            const Context& context);

  /// Records the outcome of a request, also after the owner's incarnation has
  /// ended. The first complete response is final.
  schema::ClaimResult Apply(const schema::RecordClaim& record,
                            const Context& context);

  /// Moves the claims of a host's incarnations up to and including
  /// `incarnation` from kClaimed to kUnknown.
  void EndIncarnation(const core::HostId& host, std::uint64_t incarnation);

  /// Drops the claims whose key has expired at `now`.
  void DropExpired(core::WallTime now);

  /// Returns the claim of a key, or null if there is none.
  [[nodiscard]] const schema::StoredClaim* Find(
      const core::WorkspaceId& workspace, const std::string& key) const;

  [[nodiscard]] std::size_t size() const noexcept { return claims_.size(); }

  /// Returns all claims for a snapshot, ordered by workspace and key.
  [[nodiscard]] std::vector<schema::StoredClaim> Save() const;

  /// Adds a claim from a snapshot; ignored if its key is malformed.
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
