#include "foxquay/core/outcome.h"

namespace foxquay::core {

std::string_view Name(Outcome outcome) noexcept {
  switch (outcome) {
    case Outcome::kComplete:
      return "complete";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      return "unknown";
    case Outcome::kFailed:
      return "failed";
  }
  return "invalid";
}

std::string_view Name(TrafficClass traffic_class) noexcept {
  return traffic_class == TrafficClass::kInteractive ? "interactive" : "batch";
}

std::optional<TrafficClass> ParseTrafficClass(std::string_view name) noexcept {
  if (name == "interactive") return TrafficClass::kInteractive;
  if (name == "batch") return TrafficClass::kBatch;
  return std::nullopt;
}

}  // namespace foxquay::core
