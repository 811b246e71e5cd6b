#include "usage.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <sstream>
#include <string>

namespace foxquay::bench {
namespace internal {

constexpr std::chrono::milliseconds kSampleInterval{100};
constexpr double kKilobytesPerMegabyte = 1024;

double ProcessorSeconds(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
  std::string line;
  std::getline(in, line);
  // The fields after the name: state is the 3rd, utime the 14th, stime the
  // 15th.
  std::istringstream fields(line.substr(line.rfind(')') + 2));
  std::string skipped;
  for (int field = 3; field < 14; ++field) fields >> skipped;
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

void ReadStatus(pid_t pid, Usage& usage) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(in, line);) {
    std::istringstream fields(line);
    std::string name;
    std::uint64_t value = 0;
    fields >> name >> value;
    if (name == "VmRSS:") {
      usage.resident_mb =
          std::max(usage.resident_mb,
                   static_cast<double>(value) / kKilobytesPerMegabyte);
    }
    if (name == "Threads:") usage.threads = std::max(usage.threads, value);
  }
}

}  // namespace internal

Sampler::Sampler(pid_t pid)
    : pid_(pid), processor_before_(internal::ProcessorSeconds(pid)) {
  thread_ = std::thread([this] { Sample(); });
}

Sampler::~Sampler() {
  stopping_.store(true);
  if (thread_.joinable()) thread_.join();
}

Usage Sampler::Stop() {
  stopping_.store(true);
  thread_.join();
  usage_.processor_seconds =
      internal::ProcessorSeconds(pid_) - processor_before_;
  return usage_;
}

void Sampler::Sample() {
  while (!stopping_.load()) {
    internal::ReadStatus(pid_, usage_);
    std::this_thread::sleep_for(internal::kSampleInterval);
  }
}

}  // namespace foxquay::bench
