#include "foxquay/relay/reachability.h"

#include <algorithm>
#include <utility>

namespace foxquay::relay {

void Reachability::Set(
    const std::map<core::ServiceId, std::vector<core::UpstreamId>>& upstreams) {
  std::erase_if(services_, [&upstreams](const auto& item) {
    return !upstreams.contains(item.first);
  });
  for (const auto& [id, known] : upstreams) {
    Service& service = services_[id];
    for (const core::UpstreamId& upstream : known) {
      const bool added =
          std::find(service.upstreams.begin(), service.upstreams.end(),
                    upstream) == service.upstreams.end();
      // One that starts while all others are gone ends what looks like a cut.
      if (added && service.cut_off) service.due.push_back(upstream);
    }
    service.upstreams = known;
    const auto left = [&known = known](const core::UpstreamId& upstream) {
      return std::find(known.begin(), known.end(), upstream) == known.end();
    };
    std::erase_if(service.unreachable,
                  [&left](const auto& item) { return left(item.first); });
    std::erase_if(service.due, left);
  }
}

void Reachability::Ask(Service& service, std::size_t count) {
  std::vector<core::UpstreamId> others;
  for (const core::UpstreamId& upstream : service.upstreams) {
    const bool asked = std::find(service.due.begin(), service.due.end(),
                                 upstream) != service.due.end();
    if (!asked && !service.unreachable.contains(upstream)) {
      others.push_back(upstream);
    }
  }
  std::vector<core::UpstreamId> chosen;
  std::sample(others.begin(), others.end(), std::back_inserter(chosen), count,
              random_);
  service.due.insert(service.due.end(), chosen.begin(), chosen.end());
}

void Reachability::RecordUnreachable(const core::ServiceId& id,
                                     const core::UpstreamId& upstream,
                                     core::Instant now) {
  const auto found = services_.find(id);
  if (found == services_.end()) return;
  Service& service = found->second;
  const bool known =
      std::find(service.upstreams.begin(), service.upstreams.end(), upstream) !=
      service.upstreams.end();
  const bool has_path = !service.cut_off && service.reached_at &&
                        now - *service.reached_at < kInquiryInterval;
  if (!known || has_path) return;
  service.unreachable[upstream] = now;
  service.reached.clear();
  Review(service, now);
  if (service.cut_off || now < service.next_inquiry) return;
  service.next_inquiry = now + kInquiryInterval;
  Ask(service, kMinUnreachable - 1);
}

void Reachability::Review(Service& service, core::Instant now) {
  if (service.cut_off) return;
  std::erase_if(service.unreachable, [now](const auto& item) {
    return now - item.second > kUnreachableMemory;
  });
  const std::size_t needed =
      std::min(kMinUnreachable, service.upstreams.size());
  service.cut_off = needed > 0 && service.unreachable.size() >= needed;
  if (!service.cut_off) return;
  service.due.clear();
  service.next_inquiry = now + kCutInquiryInterval;
}

void Reachability::RecordReached(const core::ServiceId& id,
                                 const core::UpstreamId& upstream,
                                 core::Instant now) {
  const auto found = services_.find(id);
  if (found == services_.end()) return;
  Service& service = found->second;
  service.reached_at = now;
  if (!service.cut_off) {
    service.unreachable.clear();
    return;
  }
  service.reached.insert(upstream);
  const std::size_t needed = std::min(kMinReached, service.upstreams.size());
  if (service.reached.size() < needed) {
    // The next inquiry does not wait.
    service.next_inquiry = {};
    return;
  }
  service.cut_off = false;
  service.reached.clear();
  service.unreachable.clear();
}

void Reachability::RecordSilence(const core::ServiceId& id,
                                 const core::UpstreamId& upstream,
                                 core::Instant now) {
  const auto found = services_.find(id);
  if (found == services_.end()) return;
  Service& service = found->second;
  if (service.cut_off || now < service.next_inquiry) return;
  service.next_inquiry = now + kInquiryInterval;
  service.due.push_back(upstream);
}

bool Reachability::CutOff(const core::ServiceId& service) const {
  const auto found = services_.find(service);
  return found != services_.end() && found->second.cut_off;
}

bool Reachability::CutOffFromAll() const {
  return !services_.empty() &&
         std::all_of(services_.begin(), services_.end(),
                     [](const auto& item) { return item.second.cut_off; });
}

std::vector<core::UpstreamId> Reachability::DueInquiries(core::Instant now) {
  std::vector<core::UpstreamId> due;
  for (auto& [id, service] : services_) {
    if (service.cut_off && now >= service.next_inquiry &&
        !service.upstreams.empty()) {
      service.next_inquiry = now + kCutInquiryInterval;
      std::vector<core::UpstreamId> others;
      for (const core::UpstreamId& upstream : service.upstreams) {
        if (!service.reached.contains(upstream)) others.push_back(upstream);
      }
      std::sample(others.begin(), others.end(), std::back_inserter(due), 1,
                  random_);
    }
    std::vector<core::UpstreamId> asked = std::exchange(service.due, {});
    due.insert(due.end(), asked.begin(), asked.end());
  }
  return due;
}

}  // namespace foxquay::relay
