#include "foxquay/control/fleet_history.h"

#include <algorithm>

#include "foxquay/core/hash.h"

namespace foxquay::control {
namespace internal {

/// Steps that are kept: those of a lease (4.5 s) at 200 changes a second.
constexpr std::size_t kMaxSteps = 1000;

/// Bytes that are always sent: the version and the number of routes, which
/// differ between almost all versions.
constexpr std::size_t kBeginBytes = 16;

}  // namespace internal

void FleetHistory::Add(std::uint64_t version, const std::string& base,
                       const std::string& content) {
  const std::size_t size = std::min(base.size(), content.size());
  if (version == 0 || size < internal::kBeginBytes) {
    steps_.clear();
    return;
  }
  const std::size_t common = size - internal::kBeginBytes;
  const auto first = content.begin() + internal::kBeginBytes;
  const auto differs =
      std::mismatch(first, first + static_cast<std::ptrdiff_t>(common),
                    base.begin() + internal::kBeginBytes);
  const auto prefix = static_cast<std::size_t>(differs.first - first);
  const auto tail = std::mismatch(
      content.rbegin(),
      content.rbegin() + static_cast<std::ptrdiff_t>(common - prefix),
      base.rbegin());
  AddStep({version, static_cast<std::uint32_t>(prefix),
           static_cast<std::uint32_t>(tail.first - content.rbegin())});
}

void FleetHistory::Add(const schema::ConfigReply& change) {
  if (change.fleet_begin != internal::kBeginBytes) {
    steps_.clear();
    return;
  }
  AddStep({change.fleet_base, change.fleet_prefix, change.fleet_suffix});
}

void FleetHistory::AddStep(const Step& step) {
  steps_.push_back(step);
  if (steps_.size() > internal::kMaxSteps) steps_.pop_front();
}

void FleetHistory::Write(const std::string& content, std::uint64_t version,
                         schema::ConfigReply& reply,
                         std::size_t max_bytes) const {
  const auto known = std::find_if(
      steps_.begin(), steps_.end(),
      [version](const Step& step) { return step.version == version; });
  // What all contents since then share with their successors, the first and the
  // last one share, and it fits into each of them.
  std::size_t prefix = content.size();
  std::size_t suffix = content.size();
  for (auto step = known; step != steps_.end(); ++step) {
    prefix = std::min<std::size_t>(prefix, step->prefix);
    suffix = std::min<std::size_t>(suffix, step->suffix);
  }
  const std::size_t begin = internal::kBeginBytes;
  if (known == steps_.end() || begin + prefix + suffix > content.size()) {
    if (content.size() <= max_bytes) reply.fleet = content;
    return;
  }
  const std::size_t end = content.size() - suffix;
  if (end - prefix > max_bytes) return;
  if (!digest_ || digest_->first != reply.fleet_version) {
    digest_ = {reply.fleet_version, core::Hash(content)};
  }
  reply.fleet_base = version;
  reply.fleet_begin = static_cast<std::uint32_t>(begin);
  reply.fleet_prefix = static_cast<std::uint32_t>(prefix);
  reply.fleet_suffix = static_cast<std::uint32_t>(suffix);
  reply.fleet_digest = digest_->second;
  reply.fleet = content.substr(0, begin) +
                content.substr(begin + prefix, end - begin - prefix);
}

std::optional<std::string> ReadFleet(const schema::ConfigReply& reply,
                                     std::uint64_t version,
                                     const std::string& base) {
  if (reply.fleet_base == 0) return reply.fleet;
  const std::size_t begin = reply.fleet_begin;
  const std::size_t prefix = reply.fleet_prefix;
  const std::size_t suffix = reply.fleet_suffix;
  const bool fits = reply.fleet_base == version &&
                    begin <= reply.fleet.size() &&
                    begin + prefix + suffix <= base.size();
  if (!fits) return std::nullopt;
  std::string content = reply.fleet.substr(0, begin) +
                        base.substr(begin, prefix) + reply.fleet.substr(begin) +
                        base.substr(base.size() - suffix);
  if (core::Hash(content) != reply.fleet_digest) return std::nullopt;
  return content;
}

}  // namespace foxquay::control
