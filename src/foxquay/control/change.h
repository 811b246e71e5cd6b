#ifndef FOXQUAY_CONTROL_CHANGE_H_
#define FOXQUAY_CONTROL_CHANGE_H_

#include "foxquay/control/config.h"
#include "foxquay/core/finding.h"
#include "foxquay/core/time.h"
#include "foxquay/schema/control.h"

namespace foxquay::control {

/// Validates a change without reference to a configuration.
///
/// Returns all findings, not only the first; the path of a finding names the
/// field. Thread-safe.
[[nodiscard]] core::Findings Validate(const schema::SetDefault& change);
[[nodiscard]] core::Findings Validate(const schema::AddException& change);
[[nodiscard]] core::Findings Validate(const schema::RemoveException& change);
[[nodiscard]] core::Findings Validate(const schema::Rollback& change);

/// Validates a change against `config`, the configuration it is to be applied
/// to, and appends its findings to `findings`.
void ValidateAgainst(const Config& config, const schema::SetDefault& change,
                     core::Findings& findings);
void ValidateAgainst(const Config& config, const schema::AddException& change,
                     core::Findings& findings);
void ValidateAgainst(const Config& config,
                     const schema::RemoveException& change,
                     core::Findings& findings);

/// Sets the kind, reason and effect of `entry` from a change.
///
/// Preconditions: Validate reports no findings for `change`; the sequence,
/// revision and time of `entry` are set.
void FillEffect(const schema::SetDefault& change, schema::ConfigEntry& entry);
void FillEffect(const schema::AddException& change, schema::ConfigEntry& entry);
void FillEffect(const schema::RemoveException& change,
                schema::ConfigEntry& entry);

/// Sets the effect of `entry` to a rollback: the difference that turns the
/// defaults and exceptions of `from` into those of `to`.
void FillDifference(const Config& from, const Config& to,
                    schema::ConfigEntry& entry);

}  // namespace foxquay::control

#endif  // FOXQUAY_CONTROL_CHANGE_H_
