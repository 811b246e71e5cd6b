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
  kExitConflict = 6,       ///< The revision is no longer the expected one.
  kExitRefused = 7,        ///< The host rejected the request.
  kExitNotInForce = 8,     ///< Accepted, but not yet in force everywhere.
  kExitWarnings = 9,       ///< Valid, but probably not as it is meant.
  kExitUsage = 64,         ///< EX_USAGE of sysexits.h
  kExitNoInput = 66,       ///< EX_NOINPUT of sysexits.h
  kExitUnavailable = 69,   ///< EX_UNAVAILABLE of sysexits.h
  kExitNoPermission = 77,  ///< EX_NOPERM of sysexits.h
  kExitConfig = 78,        ///< EX_CONFIG of sysexits.h
};

/// Command-line options of one subcommand, parsed with popt. Not thread-safe.
class Arguments {
 public:
  /// `usage` describes the positional arguments for --help.
  explicit Arguments(std::string usage) : usage_(std::move(usage)) {}

  /// Adds an option. `value` must outlive Parse; it keeps its content if the
  /// option is not given, except that a flag is then set to false.
  void AddText(const char* name, std::string& value, const char* help);
  void AddNumber(const char* name, int& value, const char* help);
  void AddFlag(const char* name, bool& value, const char* help);

  /// Parses the options and returns the positional arguments. Prints an error
  /// and returns nothing if an option is invalid.
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
