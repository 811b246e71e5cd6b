#include <array>
#include <iostream>
#include <string_view>

#include "foxquay/http/server.h"
#include "foxquay_cli/arguments.h"
#include "foxquay_cli/commands.h"
#include "foxquay_cli/send.h"

namespace {

/// A subcommand; `argv[0]` of `run` is its name.
struct Command {
  std::string_view name;
  std::string_view doc;
  int (*run)(int argc, const char** argv);
};

constexpr std::array<Command, 10> kCommands{{
    {"config", "Check a settings file", foxquay::cli::Config},
    {"defaults", "Show or set the defaults of the fleet",
     foxquay::cli::Defaults},
    {"exceptions", "List, add or remove exceptions", foxquay::cli::Exceptions},
    {"history", "List the accepted changes", foxquay::cli::History},
    {"rollback", "Restore the defaults and exceptions of a revision",
     foxquay::cli::Rollback},
    {"upstreams", "List the upstreams in use", foxquay::cli::Upstreams},
    {"hosts", "List the hosts", foxquay::cli::Hosts},
    {"status", "Show the state of the cluster", foxquay::cli::Status},
    {"drain", "Drain a host", foxquay::cli::Drain},
    {"send", "Send a completion or a service call", foxquay::cli::Send},
}};

int Usage() {
  std::cerr << "usage: foxquay COMMAND [OPTIONS]; foxquay COMMAND --help\n";
  for (const Command& command : kCommands) {
    std::cerr << "  " << command.name << "  " << command.doc << "\n";
  }
  return foxquay::cli::kExitUsage;
}

}  // namespace

int main(int argc, const char** argv) {
  if (argc < 2) return Usage();
  const foxquay::http::Library library;
  for (const Command& command : kCommands) {
    if (command.name == argv[1]) return command.run(argc - 1, argv + 1);
  }
  std::cerr << "foxquay: unknown command '" << argv[1] << "'\n";
  return Usage();
}
