#ifndef FOXQUAY_CONTROL_CHANGE_H_
#define FOXQUAY_CONTROL_CHANGE_H_

#include "foxquay/control/config.h"
#include "foxquay/core/finding.h"
#include "foxquay/core/time.h"
#include "foxquay/schema/control.h"

namespace foxquay::control {

/// Returns all faults of a change that hold whatever the configuration is.
/// The path of a finding names the field. Thread-safe.
[[nodiscard]] core::Findings Validate(const schema::SetDefault& change);
[[nodiscard]] core::Findings Validate(const schema::AddException& change);
[[nodiscard]] core::Findings Validate(const schema::RemoveException& change);
[[nodiscard]] core::Findings Validate(const schema::Rollback& change);

/// Appends the faults of a change against the configuration it applies to.
void ValidateAgainst(const Config& config, const schema::SetDefault& change,
                     core::Findings& findings);
void ValidateAgainst(const Config& config, const schema::AddException& change,
                     core::Findings& findings);
void ValidateAgainst(const Config& config,
                     const schema::RemoveException& change,
                     core::Findings& findings);

/// Fills the effect of a valid change into `entry`, whose sequence, revision
/// and time are set.
void FillEffect(const schema::SetDefault& change, schema::ConfigEntry& entry);
void FillEffect(const schema::AddException& change, schema::ConfigEntry& entry);
void FillEffect(const schema::RemoveException& change,
                schema::ConfigEntry& entry);

/// Fills the differences that turn the defaults and exceptions of `from` into
/// those of `to`.
void FillDifference(const Config& from, const Config& to,
                    schema::ConfigEntry& entry);

}  // namespace foxquay::control

#endif  // FOXQUAY_CONTROL_CHANGE_H_
