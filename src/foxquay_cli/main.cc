#include <array>
#include <iostream>
#include <string_view>

#include "foxquay_cli/send.h"

namespace {

/// A subcommand; its first argument is its own name.
struct Command {
  std::string_view name;
  std::string_view doc;
  int (*run)(int argc, const char** argv);
};

constexpr int kExitUsage = 64;  // EX_USAGE of sysexits.h

constexpr std::array<Command, 1> kCommands{{
    {"send", "Send a completion or a service call", foxquay::cli::Send},
}};

int Usage() {
  std::cerr << "usage: foxquay COMMAND [OPTIONS]; foxquay COMMAND --help\n";
  for (const Command& command : kCommands) {
    std::cerr << "  " << command.name << "  " << command.doc << "\n";
  }
  return kExitUsage;
}

}  // namespace

int main(int argc, const char** argv) {
  if (argc < 2) return Usage();
  for (const Command& command : kCommands) {
    if (command.name == argv[1]) return command.run(argc - 1, argv + 1);
  }
  std::cerr << "foxquay: unknown command '" << argv[1] << "'\n";
  return Usage();
}
