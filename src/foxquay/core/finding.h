#ifndef FOXQUAY_CORE_FINDING_H_
#define FOXQUAY_CORE_FINDING_H_

#include <string>
#include <vector>

#include "foxquay/core/fwd.h"

namespace foxquay::core {

/// One error in a settings file, a change or a message, with its location.
struct Finding {
  std::string file;     ///< Empty if the input is not a file.
  int line = 0;         ///< 1-based; 0 if unknown.
  std::string path;     ///< Key path, e.g. `listeners.caller`.
  std::string message;  ///< What is wrong and what is expected.

  friend bool operator==(const Finding&, const Finding&) = default;
};

using Findings = std::vector<Finding>;

/// Formats a finding as `file:line: path: message`.
[[nodiscard]] std::string Format(const Finding& finding);

}  // namespace foxquay::core

#endif  // FOXQUAY_CORE_FINDING_H_
