#ifndef FOXQUAY_TESTS_DAEMON_PROCESS_H_
#define FOXQUAY_TESTS_DAEMON_PROCESS_H_

#include <sys/types.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace foxquay::daemon {

/// A child process of a test; killed with SIGKILL on destruction.
class Process {
 public:
  /// Starts a binary; its standard output and error are appended to `log`.
  Process(const std::vector<std::string>& command, const std::string& log);
  ~Process();
  Process(Process&& other) noexcept;
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Sends a signal; for SIGSTOP, blocks until every thread has stopped.
  void Signal(int number) const;
  [[nodiscard]] pid_t pid() const noexcept { return pid_; }
  /// Returns the status of waitpid() if the process has ended; does not wait.
  std::optional<int> Ended();
  /// Waits up to 20 s and returns the exit status, or nothing if the process
  /// does not end in time or was killed by a signal.
  std::optional<int> Wait();

 private:
  pid_t pid_;
};

/// Polls a condition for up to 20 s; returns whether it became true.
bool Await(const std::function<bool()>& condition);

/// Returns a free loopback address, `IP:PORT`, that is reserved until this
/// process ends.
std::string FreeAddress();

/// Returns the lines of a file; none if it does not exist.
std::vector<std::string> Lines(const std::string& file);

/// Returns whether a line of a file contains `text`.
bool Contains(const std::string& file, const std::string& text);

}  // namespace foxquay::daemon

#endif  // FOXQUAY_TESTS_DAEMON_PROCESS_H_
