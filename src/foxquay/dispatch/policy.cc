#include "foxquay/dispatch/policy.h"

#include <algorithm>
#include <cstddef>

namespace foxquay::dispatch {
namespace internal {

/// Returns the precedence of an override; lower values win.
int Precedence(Scope scope) noexcept {
  switch (scope) {
    case Scope::kUpstream:
      return 0;
    case Scope::kWorkspace:
      return 1;
    case Scope::kModel:
      return 2;
    case Scope::kHost:
      return 3;
    case Scope::kDataCentre:
      return 4;
  }
  return 5;
}

/// Returns the identifier that an override of a scope must name to apply.
const std::string& ObjectName(const PolicyScope& names, Scope scope) noexcept {
  switch (scope) {
    case Scope::kWorkspace:
      return names.workspace;
    case Scope::kModel:
      return names.model;
    case Scope::kUpstream:
      return names.upstream;
    case Scope::kDataCentre:
      return names.data_centre;
    case Scope::kHost:
      break;
  }
  return names.host;
}

}  // namespace internal

Policy::Policy() {
  for (const schema::PolicySpec& spec : schema::kPolicySpecs) {
    defaults_[static_cast<std::size_t>(spec.key)] = spec.initial;
  }
}

void Policy::Replace(const PolicyChanged& changed) {
  *this = Policy();
  const std::size_t count = std::min(changed.defaults.size(), defaults_.size());
  std::copy_n(changed.defaults.begin(), count, defaults_.begin());
  for (const Override& override : changed.overrides) {
    overrides_[static_cast<std::size_t>(override.key)].push_back(override);
  }
  for (std::vector<Override>& list : overrides_) {
    std::stable_sort(
        list.begin(), list.end(), [](const Override& a, const Override& b) {
          return internal::Precedence(a.scope) < internal::Precedence(b.scope);
        });
  }
}

std::int64_t Policy::Get(schema::PolicyKey key,
                         const PolicyScope& scope) const {
  const auto index = static_cast<std::size_t>(key);
  for (const Override& override : overrides_[index]) {
    if (!override.object.empty() &&
        override.object == internal::ObjectName(scope, override.scope)) {
      return override.value;
    }
  }
  return defaults_[index];
}

}  // namespace foxquay::dispatch
