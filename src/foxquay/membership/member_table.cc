#include "foxquay/membership/member_table.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace foxquay::membership {
namespace internal {

// Dissemination reaches all hosts with high probability after a multiple of
// log2 of their number; three covers a loss of 10 %.
constexpr unsigned kSendFactor = 3;

auto Rank(const schema::MemberUpdate& update) {
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
  if (internal::Rank(update) <= internal::Rank(found->second.update)) {
    return false;
  }
  found->second = Member{update, now, 0};
  return true;
}

void MemberTable::Fill(std::vector<schema::MemberUpdate>& updates) {
  std::vector<Member*> news;
  for (auto& [host, member] : members_) {
    if (member.update.incarnation > 0 && member.sent < SendLimit() &&
        !internal::Contains(updates, host)) {
      news.push_back(&member);
    }
  }
  std::stable_sort(news.begin(), news.end(),
                   [](const Member* left, const Member* right) {
                     return left->sent < right->sent;
                   });
  for (Member* member : news) {
    if (updates.size() >= kMaxUpdates) return;
    ++member->sent;
    updates.push_back(member->update);
  }
  FillInTurn(updates);
}

void MemberTable::FillInTurn(std::vector<schema::MemberUpdate>& updates) {
  for (std::size_t tried = 0; tried < members_.size(); ++tried) {
    if (updates.size() >= kMaxUpdates) return;
    auto member = members_.upper_bound(next_);
    if (member == members_.end()) member = members_.begin();
    next_ = member->first;
    if (member->second.update.incarnation == 0) continue;
    if (internal::Contains(updates, next_)) continue;
    updates.push_back(member->second.update);
  }
}

unsigned MemberTable::SendLimit() const {
  return internal::kSendFactor *
         static_cast<unsigned>(std::bit_width(members_.size() + 1));
}

const Member* MemberTable::Find(const core::HostId& host) const {
  const auto found = members_.find(host);
  return found == members_.end() ? nullptr : &found->second;
}

std::vector<core::HostId> MemberTable::In(schema::MemberState state) const {
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
