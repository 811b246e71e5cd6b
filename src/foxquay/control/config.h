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

/// Maximum number of exceptions in force; equals the bound of the schema.
inline constexpr std::size_t kMaxExceptions = 512;
/// Maximum number of host names that were ever registered; equals the bound of
/// the schema.
inline constexpr std::size_t kMaxHosts = 2048;

/// Objects for which a policy value is looked up; empty ids match no exception.
struct Subject {
  core::WorkspaceId workspace;
  core::ModelId model;
  core::UpstreamId upstream;
  core::DataCentreId data_centre;
  core::HostId host;
};

/// Scopes of exceptions in order of precedence, most specific first.
///
/// Upstreams have the highest precedence so that no other exception enables an
/// upstream that an operator has disabled.
inline constexpr std::array<schema::ExceptionScope, 5> kScopeOrder = {
    schema::ExceptionScope::kUpstream, schema::ExceptionScope::kWorkspace,
    schema::ExceptionScope::kModel, schema::ExceptionScope::kHost,
    schema::ExceptionScope::kDataCentre};

/// Policy defaults, exceptions and hosts at one sequence of the configuration
/// feed.
///
/// Not thread-safe.
class Config {
 public:
  /// Holds the initial defaults at sequence and revision 0.
  Config();
  explicit Config(const schema::ConfigSnapshot& snapshot);

  /// Applies a feed entry; returns false and changes nothing if its sequence
  /// does not directly follow the current one.
  bool Apply(const schema::ConfigEntry& entry);

  /// Applies a feed entry whatever its sequence is.
  void ApplyEffect(const schema::ConfigEntry& entry);

  [[nodiscard]] schema::ConfigSnapshot Snapshot() const;

  /// Returns the value of a policy key for `subject`: that of the matching
  /// exception with the highest precedence (kScopeOrder), or else the default.
  [[nodiscard]] std::int64_t Effective(schema::PolicyKey key,
                                       const Subject& subject) const;

  /// Returns the exception for this key, scope and object, or null if there is
  /// none. `key` is the index of the policy key.
  [[nodiscard]] const schema::ConfigException* FindException(
      std::uint8_t key, schema::ExceptionScope scope,
      const std::string& object) const;

  /// Returns the record of a host, or null if it was never registered.
  [[nodiscard]] const schema::HostRecord* FindHost(
      const core::HostId& host) const;

  /// Returns whether this incarnation of a host is registered and has not
  /// ended.
  [[nodiscard]] bool Live(const core::HostId& host,
                          std::uint64_t incarnation) const;

  [[nodiscard]] std::uint64_t sequence() const noexcept { return sequence_; }
  [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }
  /// Returns the policy defaults by index of the policy key.
  [[nodiscard]] const std::vector<std::int64_t>& defaults() const noexcept {
    return defaults_;
  }
  /// Returns the exceptions in force by id.
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
