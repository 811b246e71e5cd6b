#include "foxquay/quarantine/table.h"

#include <algorithm>

namespace foxquay::quarantine {

bool Covers(const schema::Quarantine& quarantine,
            const core::ServiceId& service, const core::WorkspaceId& workspace,
            const Parts& parts) {
  if (quarantine.service != service) return false;
  const std::vector<core::WorkspaceId>& affected = quarantine.workspaces;
  const bool applies =
      affected.empty() ||
      std::find(affected.begin(), affected.end(), workspace) != affected.end();
  return applies && Includes(parts, quarantine.parts);
}

const schema::Quarantine* Table::Find(const core::ServiceId& service,
                                      const Parts& parts) const {
  const auto found =
      std::find_if(content_.entries.begin(), content_.entries.end(),
                   [&](const schema::Quarantine& entry) {
                     return entry.service == service && entry.parts == parts;
                   });
  return found == content_.entries.end() ? nullptr : &*found;
}

schema::QuarantineResult Table::Apply(const schema::PutQuarantine& command) {
  const schema::Quarantine& changed = command.quarantine;
  const schema::Quarantine* current = Find(changed.service, changed.parts);
  const std::uint64_t generation = current == nullptr ? 0 : current->generation;
  if (changed.parts.empty() || changed.generation != generation + 1) {
    return {false, content_.version};
  }
  std::vector<schema::Quarantine>& entries = content_.entries;
  if (current != nullptr) {
    entries[static_cast<std::size_t>(current - entries.data())] = changed;
  } else {
    if (entries.size() >= kMaxQuarantines) entries.erase(entries.begin());
    entries.push_back(changed);
  }
  return {true, ++content_.version};
}

schema::QuarantineResult Table::Apply(
    const schema::ReleaseQuarantine& command) {
  const std::size_t removed =
      std::erase_if(content_.entries, [&](const schema::Quarantine& entry) {
        return entry.service == command.service &&
               entry.parts == command.parts &&
               entry.generation == command.generation;
      });
  if (removed == 0) return {false, content_.version};
  return {true, ++content_.version};
}

}  // namespace foxquay::quarantine
