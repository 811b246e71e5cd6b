#include "foxquay/core/finding.h"

namespace foxquay::core {

std::string Format(const Finding& finding) {
  std::string text;
  if (!finding.file.empty()) text += finding.file + ":";
  if (finding.line > 0) text += std::to_string(finding.line) + ":";
  if (!text.empty()) text += " ";
  if (!finding.path.empty()) text += finding.path + ": ";
  return text + finding.message;
}

}  // namespace foxquay::core
