#include "foxquay/control/result_log.h"

#include <cassert>
#include <utility>

namespace foxquay::control {

const schema::StoredResult* ResultLog::Find(const std::string& change) const {
  const auto found = positions_.find(change);
  if (found == positions_.end()) return nullptr;
  return &results_[found->second - dropped_];
}

void ResultLog::Add(schema::StoredResult result) {
  assert(Find(result.result.change) == nullptr && "a change has one result");
  positions_[result.result.change] = dropped_ + results_.size();
  results_.push_back(std::move(result));
  if (results_.size() > kMaxResults) DropOldest();
}

void ResultLog::DropExpired(core::WallTime now) {
  while (!results_.empty() && now - results_.front().time > kResultRetention) {
    DropOldest();
  }
}

void ResultLog::DropOldest() {
  positions_.erase(results_.front().result.change);
  results_.pop_front();
  ++dropped_;
}

}  // namespace foxquay::control
