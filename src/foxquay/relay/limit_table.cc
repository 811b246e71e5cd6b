#include "foxquay/relay/limit_table.h"

#include <algorithm>

namespace foxquay::relay {

bool LimitTable::Record(const core::UpstreamId& upstream,
                        const core::ServiceId& service, core::WallTime born,
                        std::optional<double> rate, core::Instant at) {
  if (rate) rate = std::max(*rate, kMinLimit);
  const auto found = limits_.find(upstream);
  if (found == limits_.end()) {
    if (!rate || limits_.size() >= kMaxLimits) return false;
    limits_[upstream] = {service, born, rate, at};
    ++changes_;
    return true;
  }
  Limit& known = found->second;
  if (born < known.born) return false;
  const bool restarted = born > known.born;
  if (!restarted && at < known.stated_at) return false;
  const bool relaxed = known.rate && (!rate || *rate > *known.rate);
  if (!restarted && relaxed && at - known.stated_at < kLimitHold) return false;
  const bool changed = known.rate != rate;
  known = {service, born, rate, at};
  if (changed) ++changes_;
  return changed;
}

bool LimitTable::Record(const schema::LimitStatement& statement,
                        core::Instant now) {
  const auto rate =
      statement.limit > 0 ? std::optional(statement.limit) : std::nullopt;
  const core::Duration age = std::max(statement.age, core::Duration::zero());
  return Record(statement.upstream, statement.service, statement.born, rate,
                now - age);
}

std::optional<double> LimitTable::Find(const core::UpstreamId& upstream,
                                       core::WallTime born) const {
  const auto found = limits_.find(upstream);
  if (found == limits_.end() || found->second.born != born) return std::nullopt;
  return found->second.rate;
}

std::vector<schema::LimitStatement> LimitTable::List(core::Duration max_age,
                                                     core::Instant now) const {
  std::vector<schema::LimitStatement> statements;
  for (const auto& [upstream, limit] : limits_) {
    const core::Duration age = now - limit.stated_at;
    if (age > max_age) continue;
    statements.push_back(
        {upstream, limit.service, limit.born, limit.rate.value_or(0), age});
  }
  return statements;
}

void LimitTable::Expire(core::Instant now) {
  std::erase_if(limits_, [this, now](const auto& item) {
    if (now - item.second.stated_at < kLimitMemory) return false;
    if (item.second.rate) ++changes_;
    return true;
  });
}

}  // namespace foxquay::relay
