#ifndef FOXQUAY_DAEMON_ADMIN_JSON_H_
#define FOXQUAY_DAEMON_ADMIN_JSON_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "foxquay/control/config.h"
#include "foxquay/core/finding.h"
#include "foxquay/daemon/control_node.h"
#include "foxquay/schema/control.h"

namespace foxquay::daemon {

/// Renders the state of a host and of its cluster for operators. Thread-safe.
[[nodiscard]] nlohmann::json ToJson(const HostView& host);
[[nodiscard]] nlohmann::json ToJson(const schema::Announcement& upstream);
[[nodiscard]] nlohmann::json ToJson(const ControlStatus& status);
[[nodiscard]] nlohmann::json ToJson(const schema::ConfigEntry& entry);
[[nodiscard]] nlohmann::json ToJson(const schema::ChangeResult& result);
[[nodiscard]] nlohmann::json DefaultsToJson(const control::Config& config);
[[nodiscard]] nlohmann::json ExceptionsToJson(const control::Config& config);

/// Reads the fields of an operator's request. A field that is missing or has
/// the wrong type adds a finding and yields an empty value. Not thread-safe.
class FieldReader {
 public:
  /// A body that is not a JSON object yields one finding.
  explicit FieldReader(const std::string& body);

  [[nodiscard]] std::string Text(const std::string& name);
  [[nodiscard]] std::int64_t Number(const std::string& name);
  [[nodiscard]] std::uint64_t Unsigned(const std::string& name);
  [[nodiscard]] schema::ExceptionScope Scope(const std::string& name);
  /// Reads `change_id`, `expected_revision` and `author`.
  [[nodiscard]] schema::ChangeHeader Header();

  [[nodiscard]] const core::Findings& findings() const noexcept {
    return findings_;
  }

 private:
  void AddFinding(const std::string& name, std::string message);

  nlohmann::json body_;
  core::Findings findings_;
};

/// Returns the name of a scope as used in requests and answers. Thread-safe.
[[nodiscard]] std::string Name(schema::ExceptionScope scope);

}  // namespace foxquay::daemon

#endif  // FOXQUAY_DAEMON_ADMIN_JSON_H_
