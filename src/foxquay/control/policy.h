#ifndef FOXQUAY_CONTROL_POLICY_H_
#define FOXQUAY_CONTROL_POLICY_H_

#include <utility>

#include "foxquay/control/config.h"

namespace foxquay::control {

/// Converts the configuration into a policy event with the fields `defaults`
/// and `overrides` {key, scope, object, value}, such as
/// dispatch::PolicyChanged; its scope enum has the order of ExceptionScope.
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
