#ifndef FOXQUAY_DISPATCH_POLICY_H_
#define FOXQUAY_DISPATCH_POLICY_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "foxquay/core/time.h"
#include "foxquay/dispatch/event.h"
#include "foxquay/schema/policy.h"

namespace foxquay::dispatch {

/// Objects that a value is wanted for; an empty name stands for none.
struct PolicyScope {
  std::string workspace;
  std::string model;
  std::string upstream;
  std::string data_centre;
  std::string host;
};

/// Defaults and exceptions in force.
class Policy {
 public:
  /// Holds the initial values of schema/policy.yaml.
  Policy();

  /// Replaces all values.
  void Replace(const PolicyChanged& changed);

  /// Returns the value of a key. Among exceptions that apply, the order of
  /// precedence is upstream, workspace, model, host, data centre.
  [[nodiscard]] std::int64_t Get(schema::PolicyKey key,
                                 const PolicyScope& scope) const;

  /// Returns the value of a key whose unit is ms.
  [[nodiscard]] core::Duration GetTime(schema::PolicyKey key,
                                       const PolicyScope& scope) const {
    return std::chrono::milliseconds(Get(key, scope));
  }

 private:
  std::array<std::int64_t, schema::kPolicyKeyCount> defaults_{};
  std::array<std::vector<Override>, schema::kPolicyKeyCount> overrides_;
};

}  // namespace foxquay::dispatch

#endif  // FOXQUAY_DISPATCH_POLICY_H_
