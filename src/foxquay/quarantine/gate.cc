#include "foxquay/quarantine/gate.h"

#include <utility>

namespace foxquay::quarantine {

void Gate::SetTable(schema::QuarantineTable table, const core::HostId& self,
                    std::uint64_t incarnation) {
  table_ = std::move(table);
  self_ = self;
  incarnation_ = incarnation;
  std::set<ProbeKey> used;
  for (const schema::Quarantine& entry : table_.entries) {
    const ProbeKey key{entry.service, entry.parts, entry.generation};
    if (used_probes_.contains(key)) used.insert(key);
  }
  used_probes_ = std::move(used);
}

const schema::Quarantine* Gate::Find(const core::ServiceId& service,
                                     const core::WorkspaceId& workspace,
                                     const Parts& parts) const {
  if (parts.empty()) return nullptr;
  for (const schema::Quarantine& entry : table_.entries) {
    if (Covers(entry, service, workspace, parts)) return &entry;
  }
  return nullptr;
}

bool Gate::TakeProbe(const schema::Quarantine& quarantine) {
  const bool permitted = !self_.empty() && quarantine.prober == self_ &&
                         quarantine.prober_incarnation == incarnation_;
  return permitted && used_probes_
                          .emplace(quarantine.service, quarantine.parts,
                                   quarantine.generation)
                          .second;
}

}  // namespace foxquay::quarantine
