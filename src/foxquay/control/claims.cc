#include "foxquay/control/claims.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>

namespace foxquay::control {
namespace internal {

using schema::ClaimState;
using schema::ClaimStatus;

// Ten digits are sufficient until the year 2286, and with them the conversion
// to WallTime cannot overflow.
constexpr std::size_t kMaxExpiryDigits = 10;

bool SameIncarnation(const schema::ClaimOwner& left,
                     const schema::ClaimOwner& right) {
  return left.host == right.host && left.incarnation == right.incarnation;
}

schema::ClaimResult Status(ClaimStatus status) {
  schema::ClaimResult result;
  result.status = status;
  return result;
}

schema::ClaimResult ResultOf(const schema::StoredClaim& claim) {
  switch (claim.state) {
    case ClaimState::kClaimed:
      return Status(ClaimStatus::kRunning);
    case ClaimState::kComplete:
      return {ClaimStatus::kComplete, claim.status, claim.body,
              claim.body_digest};
    case ClaimState::kUnknown:
      return Status(ClaimStatus::kUnknown);
    case ClaimState::kReleased:
      return Status(ClaimStatus::kReleased);
  }
  return Status(ClaimStatus::kUnknown);
}

ClaimStatus CheckLifetime(const core::Result<core::WallTime>& expiry,
                          const ClaimTable::Context& context) {
  if (!expiry) return ClaimStatus::kMalformed;
  if (expiry.value() <= context.time) return ClaimStatus::kExpired;
  if (expiry.value() - context.time > context.max_life) {
    return ClaimStatus::kTooLong;
  }
  return ClaimStatus::kGranted;
}

template <class Command>
schema::StoredClaim NewClaim(const Command& command, ClaimState state) {
  schema::StoredClaim claim;
  claim.workspace = command.workspace;
  claim.key = command.key;
  claim.owner = command.owner;
  claim.state = state;
  return claim;
}

}  // namespace internal

core::Result<core::WallTime> ParseClaimKey(std::string_view key) {
  const std::size_t dot = key.find('.');
  if (dot == std::string_view::npos || dot == 0 || dot + 1 == key.size() ||
      dot > internal::kMaxExpiryDigits) {
    return make_error_code(core::Error::kMalformed);
  }
  std::uint64_t seconds = 0;
  const auto parsed = std::from_chars(key.data(), key.data() + dot, seconds);
  if (parsed.ec != std::errc() || parsed.ptr != key.data() + dot) {
    return make_error_code(core::Error::kMalformed);
  }
  return core::WallTime(std::chrono::seconds(seconds));
}

schema::ClaimResult ClaimTable::Apply(const schema::Claim& claim,
                                      const Context& context) {
  const auto expiry = ParseClaimKey(claim.key);
  const internal::ClaimStatus life = internal::CheckLifetime(expiry, context);
  if (life == internal::ClaimStatus::kMalformed ||
      life == internal::ClaimStatus::kExpired) {
    return internal::Status(life);
  }
  schema::StoredClaim* existing = FindMutable(claim.workspace, claim.key);
  if (existing != nullptr) return ApplyToExisting(claim, context, *existing);
  if (life != internal::ClaimStatus::kGranted) return internal::Status(life);
  if (!context.owner_live) return internal::Status(schema::ClaimStatus::kEnded);
  schema::StoredClaim added =
      internal::NewClaim(claim, schema::ClaimState::kClaimed);
  added.digest = claim.digest;
  return Insert(std::move(added), expiry.value());
}

schema::ClaimResult ClaimTable::ApplyToExisting(const schema::Claim& claim,
                                                const Context& context,
                                                schema::StoredClaim& existing) {
  if (existing.state == schema::ClaimState::kReleased) {
    if (internal::SameIncarnation(existing.owner, claim.owner) &&
        claim.owner.attempt <= existing.owner.attempt) {
      return internal::Status(schema::ClaimStatus::kReleased);
    }
    if (!context.owner_live) {
      return internal::Status(schema::ClaimStatus::kEnded);
    }
    existing.owner = claim.owner;
    existing.digest = claim.digest;
    existing.state = schema::ClaimState::kClaimed;
    return internal::Status(schema::ClaimStatus::kGranted);
  }
  if (existing.digest != claim.digest) {
    return internal::Status(schema::ClaimStatus::kMismatch);
  }
  if (existing.state == schema::ClaimState::kClaimed &&
      existing.owner == claim.owner) {
    return internal::Status(schema::ClaimStatus::kGranted);
  }
  return internal::ResultOf(existing);
}

schema::ClaimResult ClaimTable::Insert(schema::StoredClaim claim,
                                       core::WallTime expiry) {
  if (claims_.size() >= kMaxClaims) {
    return internal::Status(schema::ClaimStatus::kFull);
  }
  const bool granted = claim.state == schema::ClaimState::kClaimed;
  Key key(claim.workspace, claim.key);
  expiries_.emplace(expiry, key);
  claims_.emplace(std::move(key), std::move(claim));
  return internal::Status(granted ? schema::ClaimStatus::kGranted
                                  : schema::ClaimStatus::kReleased);
}

schema::ClaimResult ClaimTable::Apply(const schema::ReleaseClaim& release,
                                      const Context& context) {
  schema::StoredClaim* existing = FindMutable(release.workspace, release.key);
  if (existing == nullptr) {
    const auto expiry = ParseClaimKey(release.key);
    const internal::ClaimStatus life = internal::CheckLifetime(expiry, context);
    if (life != internal::ClaimStatus::kGranted) return internal::Status(life);
    if (!context.owner_live) {
      return internal::Status(schema::ClaimStatus::kEnded);
    }
    return Insert(internal::NewClaim(release, schema::ClaimState::kReleased),
                  expiry.value());
  }
  if (existing->state == schema::ClaimState::kReleased &&
      internal::SameIncarnation(existing->owner, release.owner)) {
    existing->owner.attempt =
        std::max(existing->owner.attempt, release.owner.attempt);
    return internal::Status(schema::ClaimStatus::kReleased);
  }
  if (existing->owner != release.owner) {
    return internal::Status(schema::ClaimStatus::kNotOwner);
  }
  if (existing->state == schema::ClaimState::kClaimed) {
    existing->state = schema::ClaimState::kReleased;
  }
  return internal::ResultOf(*existing);
}

schema::ClaimResult ClaimTable::Apply(const schema::RecordClaim& record,
                                      const Context&) {
  schema::StoredClaim* existing = FindMutable(record.workspace, record.key);
  if (existing == nullptr || existing->owner != record.owner) {
    return internal::Status(schema::ClaimStatus::kNotOwner);
  }
  if (existing->state == schema::ClaimState::kComplete) {
    return internal::ResultOf(*existing);
  }
  if (record.complete) {
    StoreResponse(record, *existing);
  } else {
    existing->state = schema::ClaimState::kUnknown;
  }
  return internal::ResultOf(*existing);
}

void ClaimTable::StoreResponse(const schema::RecordClaim& record,
                               schema::StoredClaim& claim) {
  claim.state = schema::ClaimState::kComplete;
  claim.status = record.status;
  claim.body_digest = record.body_digest;
  if (body_bytes_ + record.body.size() > kMaxClaimBodyBytes) return;
  claim.body = record.body;
  body_bytes_ += record.body.size();
}

void ClaimTable::EndIncarnation(const core::HostId& host,
                                std::uint64_t incarnation) {
  for (auto& [key, claim] : claims_) {
    if (claim.state == schema::ClaimState::kClaimed &&
        claim.owner.host == host && claim.owner.incarnation <= incarnation) {
      claim.state = schema::ClaimState::kUnknown;
    }
  }
}

void ClaimTable::DropExpired(core::WallTime now) {
  while (!expiries_.empty() && expiries_.begin()->first <= now) {
    const auto found = claims_.find(expiries_.begin()->second);
    body_bytes_ -= found->second.body.size();
    claims_.erase(found);
    expiries_.erase(expiries_.begin());
  }
}

const schema::StoredClaim* ClaimTable::Find(const core::WorkspaceId& workspace,
                                            const std::string& key) const {
  const auto found = claims_.find(Key(workspace, key));
  return found == claims_.end() ? nullptr : &found->second;
}

schema::StoredClaim* ClaimTable::FindMutable(const core::WorkspaceId& workspace,
                                             const std::string& key) {
  const auto found = claims_.find(Key(workspace, key));
  return found == claims_.end() ? nullptr : &found->second;
}

std::vector<schema::StoredClaim> ClaimTable::Save() const {
  std::vector<schema::StoredClaim> saved;
  saved.reserve(claims_.size());
  for (const auto& [key, claim] : claims_) saved.push_back(claim);
  return saved;
}

void ClaimTable::Restore(schema::StoredClaim claim) {
  const auto expiry = ParseClaimKey(claim.key);
  if (!expiry) return;
  body_bytes_ += claim.body.size();
  Key key(claim.workspace, claim.key);
  expiries_.emplace(expiry.value(), key);
  claims_.emplace(std::move(key), std::move(claim));
}

}  // namespace foxquay::control
