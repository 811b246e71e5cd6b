#include "foxquay/control/content_share.h"

#include <algorithm>

namespace foxquay::control {

std::size_t ContentShare::Allowed(const core::HostId& host,
                                  std::uint64_t version, core::Instant now,
                                  bool follows) {
  const auto sent = sent_.find(host);
  if (sent != sent_.end()) {
    const bool arrived = version >= sent->second.version;
    if (!arrived && now - sent->second.at < kContentTimeout) {
      return kInlineContentBytes;
    }
    sent_.erase(sent);
  }
  const bool overdue = Overdue(version, now);
  if (!follows && !overdue) return kInlineContentBytes;
  if (now >= next_) return kUnlimitedContent;
  const bool soon = overdue && next_ - now < kMaxContentAdvance;
  return soon ? kPromptContentBytes : kInlineContentBytes;
}

bool ContentShare::Overdue(std::uint64_t version, core::Instant now) {
  // The newest version that has been known for long enough is kept in front.
  while (known_.size() > 1 && now - known_[1].at >= kContentOverdue) {
    known_.pop_front();
  }
  return !known_.empty() && version < known_.front().version &&
         now - known_.front().at >= kContentOverdue;
}

void ContentShare::RecordSent(const core::HostId& host, std::uint64_t version,
                              std::size_t bytes, core::Duration spent,
                              core::Instant now) {
  if (known_.empty() || version > known_.back().version) {
    known_.push_back({version, now});
  }
  if (bytes <= kInlineContentBytes) return;
  std::erase_if(sent_, [now](const auto& item) {
    return now - item.second.at >= kContentTimeout;
  });
  sent_[host] = {version, now};
  next_ = std::max(next_, now) + core::Scale(spent, 1 / kContentShare - 1);
}

}  // namespace foxquay::control
