#include "process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>  // NOLINT: kill is not in <csignal>
#include <spawn.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <random>
#include <stdexcept>
#include <thread>

namespace foxquay::daemon {
namespace internal {

constexpr std::chrono::seconds kAwaitTimeout{20};
constexpr std::chrono::milliseconds kPollInterval{10};
// Below the range of ephemeral ports, from which the kernel takes the ports of
// outgoing connections.
constexpr int kFirstPort = 20000;
constexpr int kLastPort = 32000;

bool IsFree(int port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  const bool free = bind(descriptor, reinterpret_cast<sockaddr*>(&address),
                         sizeof(address)) == 0;
  close(descriptor);
  return free;
}

/// Locks a file for the port until this process ends, so that test processes
/// that run in parallel do not take the same one. Returns whether the port is
/// free.
bool Reserve(int port) {
  const std::string file = "/tmp/foxquay-test-port-" + std::to_string(port);
  const int descriptor =
      open(file.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, S_IRUSR | S_IWUSR);
  if (descriptor < 0) return false;
  if (flock(descriptor, LOCK_EX | LOCK_NB) == 0 && IsFree(port)) return true;
  close(descriptor);
  return false;
}

}  // namespace internal

Process::Process(const std::vector<std::string>& command,
                 const std::string& log) {
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (const std::string& word : command) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log.c_str(),
                                   O_CREAT | O_WRONLY | O_APPEND,
                                   S_IRUSR | S_IWUSR);
  posix_spawn_file_actions_adddup2(&actions, STDERR_FILENO, STDOUT_FILENO);
  // Sockets of the test that a child inherits stay open when the test closes
  // them.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  const int error = posix_spawn(&pid_, arguments.front(), &actions, nullptr,
                                arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) throw std::runtime_error("cannot start " + command.front());
}

Process::~Process() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

Process::Process(Process&& other) noexcept : pid_(other.pid_) {
  other.pid_ = 0;
}

void Process::Signal(int number) const {
  if (pid_ <= 0) return;
  kill(pid_, number);
  // The threads of a process stop one after the other, some milliseconds after
  // kill() has returned.
  if (number == SIGSTOP) waitpid(pid_, nullptr, WUNTRACED);
}

std::optional<int> Process::Ended() {
  int status = 0;
  if (pid_ <= 0 || waitpid(pid_, &status, WNOHANG) != pid_) return std::nullopt;
  pid_ = 0;
  return status;
}

std::optional<int> Process::Wait() {
  int status = 0;
  const bool ended =
      Await([&] { return waitpid(pid_, &status, WNOHANG) == pid_; });
  if (!ended) return std::nullopt;
  pid_ = 0;
  if (!WIFEXITED(status)) return std::nullopt;
  return WEXITSTATUS(status);
}

bool Await(const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + internal::kAwaitTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) return false;
    std::this_thread::sleep_for(internal::kPollInterval);
  }
  return true;
}

std::string FreeAddress() {
  std::random_device random;
  std::uniform_int_distribution<int> ports(internal::kFirstPort,
                                           internal::kLastPort);
  int port = ports(random);
  while (!internal::Reserve(port)) port = ports(random);
  return "127.0.0.1:" + std::to_string(port);
}

std::vector<std::string> Lines(const std::string& file) {
  std::vector<std::string> lines;
  std::ifstream in(file);
  for (std::string line; std::getline(in, line);) lines.push_back(line);
  return lines;
}

bool Contains(const std::string& file, const std::string& text) {
  const std::vector<std::string> lines = Lines(file);
  return std::any_of(lines.begin(), lines.end(), [&](const std::string& line) {
    return line.find(text) != std::string::npos;
  });
}

}  // namespace foxquay::daemon
