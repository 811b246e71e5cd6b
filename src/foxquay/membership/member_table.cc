#include "foxquay/membership/member_table.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace foxquay::membership {
namespace internal {

// Number of transmissions of an update per log2 of the number of hosts.
// Dissemination reaches all hosts with high probability after a small multiple
// of log2 of their number; a factor of 3 is sufficient at 10 % message loss.
constexpr unsigned kRetransmitFactor = 3;

auto Precedence(const schema::MemberUpdate& update) {
  return std::tuple(update.incarnation, update.version, update.state);
}

bool Contains(const std::vector<schema::MemberUpdate>& updates,
              const core::HostId& host) {
  return std::any_of(updates.begin(), updates.end(),
                     [&](const auto& update) { return update.host == host; });
}

}  // namespace internal

bool MemberTable::Merge(const schema::MemberUpdate& update, core::Instant now) {
  const auto found = members_.find(update.host);
  if (found == members_.end()) {
    if (update.host.empty() || members_.size() >= kMaxMembers) return false;
    members_.emplace(update.host, Member{update, now, 0});
    return true;
  }
  if (internal::Precedence(update) <=
      internal::Precedence(found->second.update)) {
    return false;
  }
  found->second = Member{update, now, 0};
  return true;
}

void MemberTable::AppendUpdates(std::vector<schema::MemberUpdate>& updates) {
  std::vector<Member*> pending;
  for (auto& [host, member] : members_) {
    if (member.update.incarnation > 0 &&
        member.transmissions < TransmitLimit() &&
        !internal::Contains(updates, host)) {
      pending.push_back(&member);
    }
  }
  std::stable_sort(pending.begin(), pending.end(),
                   [](const Member* left, const Member* right) {
                     return left->transmissions < right->transmissions;
                   });
  for (Member* member : pending) {
    if (updates.size() >= kMaxUpdates) return;
    ++member->transmissions;
    updates.push_back(member->update);
  }
  AppendRoundRobin(updates);
}

void MemberTable::AppendRoundRobin(std::vector<schema::MemberUpdate>& updates) {
  for (std::size_t tried = 0; tried < members_.size(); ++tried) {
    if (updates.size() >= kMaxUpdates) return;
    auto member = members_.upper_bound(cursor_);
    if (member == members_.end()) member = members_.begin();
    cursor_ = member->first;
    if (member->second.update.incarnation == 0) continue;
    if (internal::Contains(updates, cursor_)) continue;
    updates.push_back(member->second.update);
  }
}

unsigned MemberTable::TransmitLimit() const {
  return internal::kRetransmitFactor *
         static_cast<unsigned>(std::bit_width(members_.size() + 1));
}

const Member* MemberTable::Find(const core::HostId& host) const {
  const auto found = members_.find(host);
  return found == members_.end() ? nullptr : &found->second;
}

std::vector<core::HostId> MemberTable::HostsIn(
    schema::MemberState state) const {
  std::vector<core::HostId> hosts;
  for (const auto& [host, member] : members_) {
    if (member.update.state == state) hosts.push_back(host);
  }
  return hosts;
}

void MemberTable::RestartSuspicions(core::Instant now) {
  for (auto& [host, member] : members_) {
    if (member.update.state == schema::MemberState::kSuspect) {
      member.since = now;
    }
  }
}

}  // namespace foxquay::membership
