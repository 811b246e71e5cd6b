#include "foxquay/roster/ended_starts.h"

#include <algorithm>

namespace foxquay::roster {

bool EndsStart(const schema::Announcement& announcement) {
  return announcement.leaving && announcement.born != core::WallTime() &&
         announcement.sequence % kStartSequences == kStartSequences - 1;
}

schema::Announcement EndOf(schema::Announcement announcement) {
  announcement.leaving = true;
  announcement.sequence |= kStartSequences - 1;
  return announcement;
}

void EndedStarts::Record(const schema::Announcement& announcement,
                         core::Instant now) {
  if (!EndsStart(announcement)) return;
  const auto [found, inserted] =
      ended_.try_emplace(announcement.id, End{announcement.sequence, now});
  if (!inserted && found->second.sequence < announcement.sequence) {
    found->second = {announcement.sequence, now};
  }
  if (ended_.size() <= kMaxEndedStarts) return;
  ended_.erase(std::min_element(
      ended_.begin(), ended_.end(), [](const auto& a, const auto& b) {
        return a.second.recorded_at < b.second.recorded_at;
      }));
}

bool EndedStarts::Covers(const schema::Announcement& announcement) const {
  const auto found = ended_.find(announcement.id);
  return found != ended_.end() &&
         announcement.sequence <= found->second.sequence;
}

void EndedStarts::Expire(core::Instant now) {
  std::erase_if(ended_, [now](const auto& item) {
    return now - item.second.recorded_at > kEndedStartRetention;
  });
}

}  // namespace foxquay::roster
