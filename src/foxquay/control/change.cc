#include "foxquay/control/change.h"

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>

#include "foxquay/schema/policy.h"

namespace foxquay::control {
namespace internal {

bool IsBlank(std::string_view text) {
  return text.find_first_not_of(" \t\r\n") == std::string_view::npos;
}

void RequireNotBlank(const std::string& value, const char* path,
                     core::Findings& findings) {
  if (IsBlank(value)) findings.push_back({"", 0, path, "must not be empty"});
}

core::Findings ValidateHeader(const schema::ChangeHeader& header) {
  core::Findings findings;
  RequireNotBlank(header.change, "change_id", findings);
  RequireNotBlank(header.author, "author", findings);
  return findings;
}

void ValidateValue(const std::string& key, std::int64_t value,
                   core::Findings& findings) {
  const std::optional<schema::PolicySpec> spec = schema::FindPolicy(key);
  if (!spec) {
    findings.push_back({"", 0, "key", "is not a policy key"});
    return;
  }
  if (value >= spec->min && value <= spec->max) return;
  findings.push_back({"", 0, "value",
                      "must be from " + std::to_string(spec->min) + " to " +
                          std::to_string(spec->max) + " " +
                          std::string(spec->unit)});
}

std::uint8_t KeyIndex(const std::string& key) {
  return static_cast<std::uint8_t>(schema::FindPolicy(key)->key);
}

}  // namespace internal

core::Findings Validate(const schema::SetDefault& change) {
  core::Findings findings = internal::ValidateHeader(change.header);
  internal::ValidateValue(change.key, change.value, findings);
  return findings;
}

core::Findings Validate(const schema::AddException& change) {
  core::Findings findings = internal::ValidateHeader(change.header);
  internal::ValidateValue(change.key, change.value, findings);
  if (change.scope > schema::ExceptionScope::kHost) {
    findings.push_back({"", 0, "scope", "is not a known scope"});
  }
  internal::RequireNotBlank(change.object, "object", findings);
  internal::RequireNotBlank(change.reason, "reason", findings);
  return findings;
}

core::Findings Validate(const schema::RemoveException& change) {
  core::Findings findings = internal::ValidateHeader(change.header);
  internal::RequireNotBlank(change.reason, "reason", findings);
  return findings;
}

core::Findings Validate(const schema::Rollback& change) {
  return internal::ValidateHeader(change.header);
}

void ValidateAgainst(const Config&, const schema::SetDefault&,
                     core::Findings&) {}

void ValidateAgainst(const Config& config, const schema::AddException& change,
                     core::Findings& findings) {
  if (config.exceptions().size() >= kMaxExceptions) {
    findings.push_back({"", 0, "exception",
                        "at most " + std::to_string(kMaxExceptions) +
                            " exceptions may be in force"});
  }
  const auto spec = schema::FindPolicy(change.key);
  if (!spec) return;
  const schema::ConfigException* existing = config.FindException(
      static_cast<std::uint8_t>(spec->key), change.scope, change.object);
  if (existing == nullptr) return;
  findings.push_back({"", 0, "object",
                      "exception " + std::to_string(existing->id) +
                          " already overrides this key; remove it first"});
}

void ValidateAgainst(const Config& config,
                     const schema::RemoveException& change,
                     core::Findings& findings) {
  if (config.exceptions().contains(change.exception)) return;
  findings.push_back({"", 0, "id", "no such exception is in force"});
}

void FillEffect(const schema::SetDefault& change, schema::ConfigEntry& entry) {
  entry.kind = schema::ChangeKind::kSetDefault;
  entry.defaults.push_back({internal::KeyIndex(change.key), change.value});
}

void FillEffect(const schema::AddException& change,
                schema::ConfigEntry& entry) {
  entry.kind = schema::ChangeKind::kAddException;
  entry.reason = change.reason;
  entry.added.push_back({entry.revision, internal::KeyIndex(change.key),
                         change.scope, change.object, change.value,
                         change.reason, change.header.author, entry.time});
}

void FillEffect(const schema::RemoveException& change,
                schema::ConfigEntry& entry) {
  entry.kind = schema::ChangeKind::kRemoveException;
  entry.reason = change.reason;
  entry.removed.push_back(change.exception);
}

void FillDifference(const Config& from, const Config& to,
                    schema::ConfigEntry& entry) {
  entry.kind = schema::ChangeKind::kRollback;
  for (std::size_t key = 0; key < to.defaults().size(); ++key) {
    if (from.defaults()[key] == to.defaults()[key]) continue;
    entry.defaults.push_back(
        {static_cast<std::uint8_t>(key), to.defaults()[key]});
  }
  for (const auto& [id, exception] : from.exceptions()) {
    if (!to.exceptions().contains(id)) entry.removed.push_back(id);
  }
  for (const auto& [id, exception] : to.exceptions()) {
    if (!from.exceptions().contains(id)) entry.added.push_back(exception);
  }
}

}  // namespace foxquay::control
