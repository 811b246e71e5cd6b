#ifndef FOXQUAY_CONTROL_CONFIG_H_
#define FOXQUAY_CONTROL_CONFIG_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/schema/control.h"
#include "foxquay/schema/policy.h"

namespace foxquay::control {

/// Most exceptions in force at once; matches the schema's bound.
inline constexpr std::size_t kMaxExceptions = 512;
/// Most host names ever registered; matches the schema's bound.
inline constexpr std::size_t kMaxHosts = 2048;

/// What a policy value is looked up for; empty ids match no exception.
struct Subject {
  core::WorkspaceId workspace;
  core::ModelId model;
  core::UpstreamId upstream;
  core::DataCentreId data_centre;
  core::HostId host;
};

/// Order in which exceptions are considered, most specific first. An upstream
/// comes first so that no other exception enables an upstream that an operator
/// has disabled.
inline constexpr std::array<schema::ExceptionScope, 5> kScopeOrder = {
    schema::ExceptionScope::kUpstream, schema::ExceptionScope::kWorkspace,
    schema::ExceptionScope::kModel, schema::ExceptionScope::kHost,
    schema::ExceptionScope::kDataCentre};

/// Defaults, exceptions and hosts at one sequence of the configuration feed.
///
/// Not thread-safe.
class Config {
 public:
  /// Holds the initial defaults at sequence and revision 0.
  Config();
  explicit Config(const schema::ConfigSnapshot& snapshot);

  /// Applies the next step; returns false and changes nothing if `entry` is
  /// not the next one.
  bool Apply(const schema::ConfigEntry& entry);

  /// Applies a step's effect without requiring the sequence before it.
  void ApplyEffect(const schema::ConfigEntry& entry);

  [[nodiscard]] schema::ConfigSnapshot Snapshot() const;

  /// Returns the value of a key, from the first matching exception in
  /// kScopeOrder or else the default.
  [[nodiscard]] std::int64_t Effective(schema::PolicyKey key,
                                       const Subject& subject) const;

  /// Returns the exception for exactly this target, if any.
  [[nodiscard]] const schema::ConfigException* FindException(
      std::uint8_t key, schema::ExceptionScope scope,
      const std::string& object) const;

  /// Returns the record of a host, or null.
  [[nodiscard]] const schema::HostRecord* FindHost(
      const core::HostId& host) const;

  /// Returns whether this incarnation is registered and has not ended.
  [[nodiscard]] bool Live(const core::HostId& host,
                          std::uint64_t incarnation) const;

  [[nodiscard]] std::uint64_t sequence() const noexcept { return sequence_; }
  [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }
  /// Returns the defaults by index of the policy key.
  [[nodiscard]] const std::vector<std::int64_t>& defaults() const noexcept {
    return defaults_;
  }
  [[nodiscard]] const std::map<std::uint64_t, schema::ConfigException>&
  exceptions() const noexcept {
    return exceptions_;
  }
  [[nodiscard]] const std::map<core::HostId, schema::HostRecord>& hosts()
      const noexcept {
    return hosts_;
  }

  friend bool operator==(const Config&, const Config&) = default;

 private:
  std::uint64_t sequence_ = 0;
  std::uint64_t revision_ = 0;
  std::vector<std::int64_t> defaults_;
  std::map<std::uint64_t, schema::ConfigException> exceptions_;
  std::map<core::HostId, schema::HostRecord> hosts_;
};

}  // namespace foxquay::control

#endif  // FOXQUAY_CONTROL_CONFIG_H_
