#include "foxquay/daemon/control_policy.h"

namespace foxquay::daemon {
namespace internal {

dispatch::Scope ScopeOf(schema::ExceptionScope scope) {
  switch (scope) {
    case schema::ExceptionScope::kWorkspace:
      return dispatch::Scope::kWorkspace;
    case schema::ExceptionScope::kModel:
      return dispatch::Scope::kModel;
    case schema::ExceptionScope::kUpstream:
      return dispatch::Scope::kUpstream;
    case schema::ExceptionScope::kDataCentre:
      return dispatch::Scope::kDataCentre;
    case schema::ExceptionScope::kHost:
      return dispatch::Scope::kHost;
  }
  return dispatch::Scope::kHost;
}

}  // namespace internal

dispatch::PolicyChanged PolicyOf(const control::Config& config) {
  dispatch::PolicyChanged policy;
  policy.defaults = config.defaults();
  for (const auto& [id, exception] : config.exceptions()) {
    policy.overrides.push_back({static_cast<schema::PolicyKey>(exception.key),
                                internal::ScopeOf(exception.scope),
                                exception.object, exception.value});
  }
  return policy;
}

}  // namespace foxquay::daemon
