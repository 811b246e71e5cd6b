#include "foxquay/control/grants.h"

#include <algorithm>
#include <utility>

namespace foxquay::control {
namespace internal {

schema::FencingResult GrantResult(const schema::StoredGrant& grant,
                                  schema::FencingStatus status) {
  schema::FencingResult result;
  result.status = status;
  result.upstream = grant.upstream;
  result.epoch = grant.epoch;
  result.holder = grant.holder;
  result.incarnation = grant.incarnation;
  result.length = grant.length;
  result.previous_epoch = grant.previous_epoch;
  result.previous_length = grant.previous_length;
  return result;
}

schema::FencingResult RefusalResult(const schema::GrantFencing& request,
                                    schema::FencingStatus status) {
  schema::FencingResult result;
  result.status = status;
  result.upstream = request.upstream;
  return result;
}

bool SameHolder(const schema::StoredGrant& grant,
                const schema::GrantFencing& request) {
  return grant.holder == request.holder &&
         grant.incarnation == request.incarnation;
}

}  // namespace internal

schema::FencingResult GrantTable::Apply(const schema::GrantFencing& request,
                                        core::WallTime time,
                                        bool requester_live, bool holder_live) {
  if (request.upstream.empty() || request.length <= core::Duration::zero() ||
      request.length > kMaxGrantLength) {
    return internal::RefusalResult(request, schema::FencingStatus::kInvalid);
  }
  if (!requester_live) {
    return internal::RefusalResult(request, schema::FencingStatus::kEnded);
  }
  const auto found = grants_.find(request.upstream);
  if (found == grants_.end() && grants_.size() >= kMaxGrants) {
    return internal::RefusalResult(request, schema::FencingStatus::kFull);
  }
  schema::StoredGrant& grant = grants_[request.upstream];
  if (grant.epoch > 0 && !internal::SameHolder(grant, request)) {
    if (holder_live && time < grant.expiry) {
      return internal::GrantResult(grant, schema::FencingStatus::kHeld);
    }
    grant.previous_epoch = grant.epoch;
    grant.previous_length = grant.longest;
  }
  grant.upstream = request.upstream;
  grant.epoch += 1;
  grant.holder = request.holder;
  grant.incarnation = request.incarnation;
  grant.length = request.length;
  grant.longest = std::max(grant.longest, request.length);
  grant.expiry =
      time + std::chrono::ceil<core::WallTime::duration>(request.length);
  return internal::GrantResult(grant, schema::FencingStatus::kGranted);
}

const schema::StoredGrant* GrantTable::Find(
    const core::UpstreamId& upstream) const {
  const auto found = grants_.find(upstream);
  return found == grants_.end() ? nullptr : &found->second;
}

std::vector<schema::StoredGrant> GrantTable::Save() const {
  std::vector<schema::StoredGrant> saved;
  for (const auto& [upstream, grant] : grants_) saved.push_back(grant);
  return saved;
}

void GrantTable::Restore(schema::StoredGrant grant) {
  core::UpstreamId upstream = grant.upstream;
  grants_.emplace(std::move(upstream), std::move(grant));
}

}  // namespace foxquay::control
