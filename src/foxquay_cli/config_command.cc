#include <iostream>

#include "foxquay/settings/settings.h"
#include "foxquay_cli/arguments.h"
#include "foxquay_cli/commands.h"

namespace foxquay::cli {

int Config(int argc, const char** argv) {
  Arguments arguments("check FILE");
  const auto args = arguments.Parse(argc, argv);
  if (!args) return kExitUsage;
  if (args->size() != 2 || args->front() != "check") {
    std::cerr << "usage: foxquay config check FILE\n";
    return kExitUsage;
  }
  const settings::Loaded loaded = settings::Load(args->back());
  for (const core::Finding& finding : loaded.findings) {
    std::cerr << core::Format(finding) << "\n";
  }
  return loaded.findings.empty() ? kExitOk : kExitConfig;
}

}  // namespace foxquay::cli
