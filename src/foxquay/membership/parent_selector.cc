#include "foxquay/membership/parent_selector.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "foxquay/core/hash.h"

namespace foxquay::membership {

const char* Name(ParentChange change) noexcept {
  switch (change) {
    case ParentChange::kFirst:
      return "first";
    case ParentChange::kSilent:
      return "silent";
    case ParentChange::kUnconfirmed:
      return "unconfirmed";
    case ParentChange::kPreferred:
      return "preferred";
  }
  return "";
}

void ParentSelector::SetCandidates(std::vector<ParentCandidate> candidates) {
  const std::uint64_t seed = core::Hash(self_.value());
  const auto rank = [seed](const ParentCandidate& candidate) {
    return std::make_tuple(!candidate.near,
                           core::Hash(candidate.host.value(), seed),
                           candidate.host);
  };
  std::sort(candidates.begin(), candidates.end(),
            [&rank](const auto& left, const auto& right) {
              return rank(left) < rank(right);
            });
  candidates_ = std::move(candidates);
  const auto is_candidate = [this](const core::HostId& host) {
    return std::any_of(candidates_.begin(), candidates_.end(),
                       [&host](const auto& item) { return item.host == host; });
  };
  std::erase_if(records_, [&is_candidate](const auto& item) {
    return !is_candidate(item.first);
  });
  for (const ParentCandidate& candidate : candidates_) {
    records_.try_emplace(candidate.host);
  }
  if (parent_ && !is_candidate(*parent_)) parent_.reset();
}

core::Duration PollInterval(std::size_t followers, std::size_t controls) {
  const double polls_per_second =
      kMaxFollowerPollRate *
      static_cast<double>(std::max<std::size_t>(1, controls));
  const auto shared =
      std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(
          static_cast<double>(followers) / polls_per_second));
  return std::max(kFollowInterval, shared);
}

core::Duration MaxConfigurationAge(std::size_t followers, std::size_t controls,
                                   std::size_t lost) {
  const core::Duration interval = PollInterval(followers, controls);
  // A reply of the age that still counts, then the next poll; if it is in vain,
  // others are asked an interval later, one after the other.
  core::Duration age = kMaxConfirmationAge + interval;
  if (lost > 0) age += interval + kAskInterval * static_cast<int>(lost - 1);
  return age;
}

int ParentSelector::Doublings(std::size_t replies) const {
  const std::size_t rounds =
      replies / std::max<std::size_t>(1, 2 * candidates_.size());
  return static_cast<int>(std::min<std::size_t>(rounds, kMaxSilenceDoublings));
}

bool ParentSelector::Confirmed(const Record& record, core::Instant now) const {
  return record.confirmed_at && now - *record.confirmed_at < ReplyTimeout();
}

void ParentSelector::Choose(ParentChange change, core::Instant now) {
  const auto rank = [this, now](const ParentCandidate& candidate) {
    const Record& record = records_.at(candidate.host);
    const bool avoided = record.avoid_until > now;
    return std::make_tuple(avoided, !Confirmed(record, now),
                           avoided ? record.avoid_until : now);
  };
  const auto best =
      std::min_element(candidates_.begin(), candidates_.end(),
                       [&rank](const auto& left, const auto& right) {
                         return rank(left) < rank(right);
                       });
  if (best != candidates_.end()) Follow(best->host, change, now);
}

void ParentSelector::Follow(const core::HostId& host, ParentChange change,
                            core::Instant now) {
  parent_ = host;
  change_ = change;
  Record& record = records_.at(host);
  parent_confirms_ = change == ParentChange::kFirst || Confirmed(record, now);
  // Only polls as its follower are waited for.
  record.open_poll.reset();
  next_poll_ = now;
  confirmed_at_ = now;
  next_return_ = now + kReturnInterval;
}

void ParentSelector::Fail(ParentChange change, core::Instant now) {
  Record& record = records_.at(*parent_);
  const int doublings = std::min(record.failures, kMaxParentDoublings);
  record.avoid_until = now + kInitialParentBackoff * (1 << doublings);
  ++record.failures;
  Choose(change, now);
}

bool ParentSelector::OtherConfirms(core::Instant now) const {
  return std::any_of(
      records_.begin(), records_.end(), [this, now](const auto& item) {
        return item.first != *parent_ && Confirmed(item.second, now);
      });
}

std::optional<ParentChange> ParentSelector::ReasonToLeave(
    core::Instant now) const {
  const Record& record = records_.at(*parent_);
  if (record.open_poll && now - *record.open_poll >= ReplyTimeout()) {
    return ParentChange::kSilent;
  }
  const bool unconfirmed =
      now - confirmed_at_ >= kMaxUnconfirmed + ReplyTimeout();
  // A host without a configuration asks nobody but its parent.
  if (unconfirmed && (OtherConfirms(now) || !ever_confirmed_)) {
    return ParentChange::kUnconfirmed;
  }
  return std::nullopt;
}

bool ParentSelector::Searching(core::Instant now) const {
  const Record& record = records_.at(*parent_);
  return !parent_confirms_ ||
         (record.open_poll && now - *record.open_poll >= Interval());
}

const core::HostId* ParentSelector::NextToAsk(core::Instant now) const {
  const core::HostId* next = nullptr;
  for (const ParentCandidate& candidate : candidates_) {
    const Record& record = records_.at(candidate.host);
    if (candidate.host == *parent_) continue;
    if (record.last_poll && now - *record.last_poll < kAskInterval) continue;
    // One that confirmed a moment ago is a better bet than any other.
    if (Confirmed(record, now)) return &candidate.host;
    if (next == nullptr || record.last_poll < records_.at(*next).last_poll) {
      next = &candidate.host;
    }
  }
  return next;
}

void ParentSelector::Poll(const core::HostId& host, core::Instant now,
                          std::vector<core::HostId>& due) {
  Record& record = records_.at(host);
  if (!record.open_poll) record.open_poll = now;
  record.last_poll = now;
  ++unanswered_;
  due.push_back(host);
}

std::vector<core::HostId> ParentSelector::Due(core::Instant now) {
  std::vector<core::HostId> due;
  if (!parent_) Choose(ParentChange::kFirst, now);
  if (!parent_) return due;
  if (const auto reason = ReasonToLeave(now)) Fail(*reason, now);
  if (!records_.at(*parent_).open_poll && now >= next_poll_) {
    Poll(*parent_, now, due);
    next_poll_ = now + Interval();
  }
  if (Searching(now) && now >= next_ask_) {
    if (const core::HostId* other = NextToAsk(now)) {
      Poll(*other, now, due);
      const std::size_t replies = std::max(unanswered_, unconfirmed_);
      next_ask_ = now + kAskInterval * (1 << Doublings(replies));
    }
  }
  AddPreferred(due, now);
  return due;
}

void ParentSelector::AddPreferred(std::vector<core::HostId>& due,
                                  core::Instant now) {
  const core::HostId& preferred = candidates_.front().host;
  if (preferred == *parent_ || now < next_return_) return;
  if (now < records_.at(preferred).avoid_until) return;
  next_return_ = now + kReturnInterval;
  if (std::find(due.begin(), due.end(), preferred) == due.end()) {
    Poll(preferred, now, due);
  }
}

void ParentSelector::HandleReply(const core::HostId& from,
                                 std::optional<core::Duration> age,
                                 core::Instant now) {
  const auto found = records_.find(from);
  if (!parent_ || found == records_.end()) return;
  Record& record = found->second;
  record.open_poll.reset();
  unanswered_ = 0;
  const bool confirmed = age && *age <= kMaxConfirmationAge;
  if (confirmed) record.confirmed_at = now;
  ever_confirmed_ = ever_confirmed_ || confirmed;
  unconfirmed_ = confirmed ? 0 : unconfirmed_ + 1;
  if (from == *parent_) {
    parent_confirms_ = confirmed;
    if (!confirmed) return;
    confirmed_at_ = now;
    record.failures = 0;
    return;
  }
  if (!confirmed || now < record.avoid_until) return;
  const auto reason = ReasonToLeave(now);
  if (reason) {
    Fail(*reason, now);
  } else if (from == candidates_.front().host) {
    Follow(from, ParentChange::kPreferred, now);
    record.failures = 0;
  }
}

void ParentSelector::HandleLoss(const core::HostId& host, core::Instant now) {
  const auto found = records_.find(host);
  if (!parent_ || found == records_.end() || !found->second.open_poll) return;
  found->second.open_poll.reset();
  if (host != *parent_) {
    next_ask_ = std::min(next_ask_, now);
    return;
  }
  // A connection to a former process is replaced; a second loss means that
  // there is no process.
  const bool again = lost_at_ && now - *lost_at_ < Interval();
  lost_at_ = now;
  if (again) {
    parent_confirms_ = false;
  } else {
    next_poll_ = std::min(next_poll_, now);
  }
}

}  // namespace foxquay::membership
