#ifndef FOXQUAY_TESTS_DAEMON_PROCESS_H_
#define FOXQUAY_TESTS_DAEMON_PROCESS_H_

#include <sys/types.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace foxquay::daemon {

/// A process started by a test; killed when it goes out of scope.
class Process {
 public:
  /// Starts a binary with its standard error appended to a file.
  Process(const std::vector<std::string>& command, const std::string& log);
  ~Process();
  Process(Process&& other) noexcept;
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Sends a signal; of SIGSTOP, returns when every thread stands still.
  void Signal(int number) const;
  [[nodiscard]] pid_t pid() const noexcept { return pid_; }
  /// Returns the status of waitpid() if the process has ended; does not wait.
  std::optional<int> Ended();
  /// Returns the exit status, or nothing if the process does not end in time
  /// or was killed by a signal.
  std::optional<int> Wait();

 private:
  pid_t pid_;
};

/// Polls a condition for up to 20 s; returns whether it became true.
bool Await(const std::function<bool()>& condition);

/// Returns a loopback address that no other test process uses.
std::string FreeAddress();

/// Returns the lines of a file; none if it does not exist.
std::vector<std::string> Lines(const std::string& file);

/// Returns whether a line of a file contains a text.
bool Contains(const std::string& file, const std::string& text);

}  // namespace foxquay::daemon

#endif  // FOXQUAY_TESTS_DAEMON_PROCESS_H_
