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

/// Objects to which a request or upstream belongs, by which overrides are
/// looked up. An empty identifier matches no override.
struct PolicyScope {
  std::string workspace;
  std::string model;
  std::string upstream;
  std::string data_centre;
  std::string host;
};

/// Policy values in force: a default for each key, and overrides for single
/// objects. Not thread-safe.
class Policy {
 public:
  /// Starts with the defaults of schema/policy.yaml and no overrides.
  Policy();

  /// Replaces all values. Keys beyond the end of `changed.defaults` get their
  /// initial values.
  void Replace(const PolicyChanged& changed);

  /// Returns the value of a key. If several overrides apply, the scopes take
  /// precedence in the order upstream, workspace, model, host, data centre.
  [[nodiscard]] std::int64_t Get(schema::PolicyKey key,
                                 const PolicyScope& scope) const;

  /// Returns the value of a key whose unit is milliseconds.
  [[nodiscard]] core::Duration GetTime(schema::PolicyKey key,
                                       const PolicyScope& scope) const {
    return std::chrono::milliseconds(Get(key, scope));
  }

 private:
  std::array<std::int64_t, schema::kPolicyKeyCount> defaults_{};
  /// Overrides of each key, by decreasing precedence.
  std::array<std::vector<Override>, schema::kPolicyKeyCount> overrides_;
};

}  // namespace foxquay::dispatch

#endif  // FOXQUAY_DISPATCH_POLICY_H_
