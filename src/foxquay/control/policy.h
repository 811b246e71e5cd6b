#ifndef FOXQUAY_CONTROL_POLICY_H_
#define FOXQUAY_CONTROL_POLICY_H_

#include <utility>

#include "foxquay/control/config.h"

namespace foxquay::control {

/// Converts a configuration to a policy event such as dispatch::PolicyChanged.
///
/// `PolicyChanged` has the fields `defaults` and `overrides`, the latter with
/// elements {key, scope, object, value}. The enumerators of its scope have the
/// same values as those of schema::ExceptionScope.
template <class PolicyChanged>
[[nodiscard]] PolicyChanged ToPolicy(const Config& config) {
  PolicyChanged policy;
  policy.defaults = config.defaults();
  for (const auto& [id, exception] : config.exceptions()) {
    auto& added = policy.overrides.emplace_back();
    using Scope = decltype(added.scope);
    static_assert(static_cast<int>(Scope::kWorkspace) ==
                      static_cast<int>(schema::ExceptionScope::kWorkspace) &&
                  static_cast<int>(Scope::kModel) ==
                      static_cast<int>(schema::ExceptionScope::kModel) &&
                  static_cast<int>(Scope::kUpstream) ==
                      static_cast<int>(schema::ExceptionScope::kUpstream) &&
                  static_cast<int>(Scope::kDataCentre) ==
                      static_cast<int>(schema::ExceptionScope::kDataCentre) &&
                  static_cast<int>(Scope::kHost) ==
                      static_cast<int>(schema::ExceptionScope::kHost));
    added.key = static_cast<schema::PolicyKey>(exception.key);
    added.scope = static_cast<Scope>(exception.scope);
    added.object = exception.object;
    added.value = exception.value;
  }
  return policy;
}

}  // namespace foxquay::control

#endif  // FOXQUAY_CONTROL_POLICY_H_
