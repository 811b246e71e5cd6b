#ifndef FOXQUAY_CLI_ARGUMENTS_H_
#define FOXQUAY_CLI_ARGUMENTS_H_

#include <popt.h>

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace foxquay::cli {

/// Exit statuses of all subcommands.
enum ExitStatus : int {
  kExitOk = 0,
  kExitConflict = 6,       ///< Another change took the expected revision.
  kExitRefused = 7,        ///< The host refused the request; findings say why.
  kExitNotInForce = 8,     ///< Accepted, but not yet in force everywhere.
  kExitUsage = 64,         ///< EX_USAGE of sysexits.h
  kExitUnavailable = 69,   ///< EX_UNAVAILABLE of sysexits.h
  kExitNoPermission = 77,  ///< EX_NOPERM of sysexits.h
  kExitConfig = 78,        ///< EX_CONFIG of sysexits.h
};

/// Options of one subcommand, parsed with popt into C++ values.
class Arguments {
 public:
  /// `usage` is the command with its positional arguments.
  explicit Arguments(std::string usage) : usage_(std::move(usage)) {}

  /// Adds an option; `value` keeps its content if the option is not given.
  void AddText(const char* name, std::string& value, const char* help);
  void AddNumber(const char* name, int& value, const char* help);
  void AddFlag(const char* name, bool& value, const char* help);

  /// Parses and returns the positional arguments; prints a fault and returns
  /// nothing if there is one.
  [[nodiscard]] std::optional<std::vector<std::string>> Parse(
      int argc, const char** argv);

 private:
  struct Text {
    char* given = nullptr;
    std::string* value = nullptr;
  };
  struct Flag {
    int given = 0;
    bool* value = nullptr;
  };

  std::string usage_;
  std::vector<poptOption> table_;
  std::deque<Text> texts_;
  std::deque<Flag> flags_;
};

}  // namespace foxquay::cli

#endif  // FOXQUAY_CLI_ARGUMENTS_H_
