#include "foxquay/roster/spread.h"

#include <algorithm>
#include <iterator>

namespace foxquay::roster {

Spread::Spread(core::HostId self, std::uint64_t incarnation)
    : self_(std::move(self)), incarnation_(incarnation) {}

void Spread::Record(const core::HostId& from, const schema::RosterPoll& poll) {
  Known& known = known_[from];
  const std::pair<std::uint64_t, std::uint64_t> sent(poll.incarnation,
                                                     poll.number);
  if (sent < known.poll) return;
  known = {sent, 0};
  for (const schema::FeedVersion& feed : poll.known) {
    const bool current = feed.host == self_ && feed.incarnation == incarnation_;
    if (current) known.version = feed.version;
  }
}

void Spread::Await(std::uint64_t task, std::uint64_t version,
                   core::Instant deadline) {
  waiting_.emplace(task, Waiting{version, deadline});
}

bool Spread::Has(const core::HostId& host, std::uint64_t version) const {
  const auto found = known_.find(host);
  return found != known_.end() && found->second.version >= version;
}

std::vector<Spread::Settled> Spread::Take(
    const std::vector<core::HostId>& others, core::Instant now) {
  std::vector<Settled> settled;
  std::erase_if(waiting_, [&](const auto& item) {
    Settled result{item.first, {}};
    std::copy_if(others.begin(), others.end(),
                 std::back_inserter(result.lacking),
                 [&](const core::HostId& host) {
                   return !Has(host, item.second.version);
                 });
    if (!result.lacking.empty() && now < item.second.deadline) return false;
    settled.push_back(std::move(result));
    return true;
  });
  return settled;
}

}  // namespace foxquay::roster
