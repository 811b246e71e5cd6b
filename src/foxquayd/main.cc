#include <popt.h>

#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>

#include "foxquay/daemon/serve.h"
#include "foxquay/settings/settings.h"

namespace {

constexpr int kExitUsage = 64;   // EX_USAGE of sysexits.h
constexpr int kExitConfig = 78;  // EX_CONFIG of sysexits.h

struct Options {
  std::string config;
  bool check = false;
  bool version = false;
};

int Parse(int argc, const char** argv, Options& options) {
  char* config = nullptr;
  int check = 0;
  int version = 0;
  const poptOption table[] = {
      {"config", 'c', POPT_ARG_STRING, &config, 0, "Settings file", "FILE"},
      {"check", 0, POPT_ARG_NONE, &check, 0, "Check the settings and exit",
       nullptr},
      {"version", 0, POPT_ARG_NONE, &version, 0, "Print the version and exit",
       nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
      poptGetContext("foxquayd", argc, argv, table, 0), poptFreeContext);
  const int result = poptGetNextOpt(context.get());
  if (result < -1) {
    std::cerr << poptBadOption(context.get(), 0) << ": " << poptStrerror(result)
              << "\n";
    return kExitUsage;
  }
  if (config != nullptr) options.config = config;
  std::free(config);  // NOLINT: popt allocates with malloc
  options.check = check != 0;
  options.version = version != 0;
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, const char** argv) {
  Options options;
  const int parsed = Parse(argc, argv, options);
  if (parsed != EXIT_SUCCESS) return parsed;
  if (options.version) {
    std::cout << "foxquayd 0.1.0\n";
    return EXIT_SUCCESS;
  }
  if (options.config.empty()) {
    std::cerr << "foxquayd: --config FILE is required; see --help\n";
    return kExitUsage;
  }
  const foxquay::settings::Loaded loaded =
      foxquay::settings::Load(options.config);
  for (const foxquay::core::Finding& finding : loaded.findings) {
    std::cerr << foxquay::core::Format(finding) << "\n";
  }
  if (!loaded.findings.empty()) return kExitConfig;
  if (options.check) return EXIT_SUCCESS;
  return foxquay::daemon::Serve(options.config, loaded.settings);
}
