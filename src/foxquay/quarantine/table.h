#ifndef FOXQUAY_QUARANTINE_TABLE_H_
#define FOXQUAY_QUARANTINE_TABLE_H_

#include <cstddef>

#include "foxquay/core/id.h"
#include "foxquay/quarantine/parts.h"
#include "foxquay/schema/quarantine.h"

namespace foxquay::quarantine {

/// Maximum number of quarantines in force; equals the bound of the schema.
inline constexpr std::size_t kMaxQuarantines = 256;

/// Returns whether a quarantine refuses requests of a workspace for a service
/// with these parts. Thread-safe.
[[nodiscard]] bool Covers(const schema::Quarantine& quarantine,
                          const core::ServiceId& service,
                          const core::WorkspaceId& workspace,
                          const Parts& parts);

/// The quarantines in force, as a state machine of the replicated log.
///
/// Commands name the generation that they follow, so that a command that is
/// committed twice, or that an earlier leader proposed on older evidence, has
/// no effect. If the table is full, the quarantine added first makes room. Not
/// thread-safe.
class Table {
 public:
  Table() = default;
  explicit Table(schema::QuarantineTable content)
      : content_(std::move(content)) {}

  schema::QuarantineResult Apply(const schema::PutQuarantine& command);
  schema::QuarantineResult Apply(const schema::ReleaseQuarantine& command);

  [[nodiscard]] const schema::QuarantineTable& content() const noexcept {
    return content_;
  }
  /// Returns a quarantine; null if there is none for these parts.
  [[nodiscard]] const schema::Quarantine* Find(const core::ServiceId& service,
                                               const Parts& parts) const;

 private:
  schema::QuarantineTable content_;
};

}  // namespace foxquay::quarantine

#endif  // FOXQUAY_QUARANTINE_TABLE_H_
