#ifndef FOXQUAY_QUARANTINE_GATE_H_
#define FOXQUAY_QUARANTINE_GATE_H_

#include <cstdint>
#include <set>
#include <tuple>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/quarantine/parts.h"
#include "foxquay/quarantine/table.h"
#include "foxquay/schema/quarantine.h"

namespace foxquay::quarantine {

/// Applies the quarantines in force to the requests of one host.
///
/// Not thread-safe; performs no I/O.
class Gate {
 public:
  /// Replaces the quarantines; `self` and `incarnation` are those of this
  /// process.
  void SetTable(schema::QuarantineTable table, const core::HostId& self,
                std::uint64_t incarnation);

  /// Returns the quarantine by which a request is refused; null if it may be
  /// sent. The pointer is valid until the next call of SetTable.
  [[nodiscard]] const schema::Quarantine* Find(
      const core::ServiceId& service, const core::WorkspaceId& workspace,
      const Parts& parts) const;

  /// Returns whether this process may send one request in spite of the
  /// quarantine, and uses up that permission.
  [[nodiscard]] bool TakeProbe(const schema::Quarantine& quarantine);

  /// Returns the number of quarantines.
  [[nodiscard]] std::size_t size() const noexcept {
    return table_.entries.size();
  }

 private:
  using ProbeKey = std::tuple<core::ServiceId, Parts, std::uint64_t>;

  schema::QuarantineTable table_;
  core::HostId self_;
  std::uint64_t incarnation_ = 0;
  std::set<ProbeKey> used_probes_;
};

}  // namespace foxquay::quarantine

#endif  // FOXQUAY_QUARANTINE_GATE_H_
