#include "foxquay/control/feed.h"

namespace foxquay::control {
namespace internal {

constexpr std::size_t kMaxRetainedEntries = 1024;
constexpr std::size_t kMaxReplyEntries = 256;

}  // namespace internal

void Feed::Append(const schema::ConfigEntry& entry) {
  if (!entries_.empty() && entries_.back().sequence + 1 != entry.sequence) {
    entries_.clear();
  }
  entries_.push_back(entry);
  if (entries_.size() > internal::kMaxRetainedEntries) entries_.pop_front();
}

schema::ConfigReply Feed::Answer(const Config& config,
                                 const schema::ConfigPoll& poll,
                                 core::Duration age) const {
  schema::ConfigReply reply;
  reply.incarnation = poll.incarnation;
  reply.poll = poll.poll;
  reply.sequence = config.sequence();
  reply.age = age;
  if (poll.sequence >= config.sequence()) return reply;
  if (!FillEntries(config, poll.sequence, reply)) {
    reply.entries.clear();
    reply.snapshot = config.Snapshot();
  }
  return reply;
}

bool Feed::FillEntries(const Config& config, std::uint64_t after,
                       schema::ConfigReply& reply) const {
  if (entries_.empty() || entries_.back().sequence != config.sequence() ||
      entries_.front().sequence > after + 1 ||
      config.sequence() - after > internal::kMaxReplyEntries) {
    return false;
  }
  std::size_t exceptions = 0;
  const auto skipped = after + 1 - entries_.front().sequence;
  for (auto entry = entries_.begin() + static_cast<std::ptrdiff_t>(skipped);
       entry != entries_.end(); ++entry) {
    exceptions += entry->added.size();
    if (exceptions > kMaxExceptions) return false;
    reply.entries.push_back(*entry);
  }
  return true;
}

}  // namespace foxquay::control
