#ifndef FOXQUAY_FLEET_WARNINGS_H_
#define FOXQUAY_FLEET_WARNINGS_H_

#include "foxquay/core/finding.h"
#include "foxquay/schema/fleet.h"

namespace foxquay::fleet {

/// Returns what a fleet configuration probably does not mean to say although
/// it is valid.
///
/// Reports entries that can never match or have no effect (routes, API keys,
/// weights of 0, services without a route), workspaces without a key, and
/// limits that contradict each other or the engine of a service: targets that
/// no response can meet, and accelerators or chains that cannot hold the
/// layers. API keys are named by their index. The configuration need not be
/// valid. Thread-safe.
[[nodiscard]] core::Findings FindWarnings(const schema::Fleet& fleet);

/// Returns what makes a configuration useless as the successor of the one in
/// force: a version that is not higher. Thread-safe.
[[nodiscard]] core::Findings FindSuccessionWarnings(
    const schema::Fleet& in_force, const schema::Fleet& fleet);

}  // namespace foxquay::fleet

#endif  // FOXQUAY_FLEET_WARNINGS_H_
