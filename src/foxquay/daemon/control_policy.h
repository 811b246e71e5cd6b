#ifndef FOXQUAY_DAEMON_CONTROL_POLICY_H_
#define FOXQUAY_DAEMON_CONTROL_POLICY_H_

#include "foxquay/control/config.h"
#include "foxquay/dispatch/event.h"

namespace foxquay::daemon {

/// Returns the policy that a configuration puts in force. Thread-safe.
[[nodiscard]] dispatch::PolicyChanged PolicyOf(const control::Config& config);

}  // namespace foxquay::daemon

#endif  // FOXQUAY_DAEMON_CONTROL_POLICY_H_
