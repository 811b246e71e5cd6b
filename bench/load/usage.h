#ifndef FOXQUAY_BENCH_LOAD_USAGE_H_
#define FOXQUAY_BENCH_LOAD_USAGE_H_

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <thread>

namespace foxquay::bench {

/// Resources that a process used while a load ran.
struct Usage {
  std::uint64_t threads = 0;     ///< Largest number seen.
  double resident_mb = 0;        ///< Largest value seen.
  double processor_seconds = 0;  ///< Spent during the load.
};

/// Samples a process from its construction until Stop.
class Sampler {
 public:
  explicit Sampler(pid_t pid);
  Sampler(const Sampler&) = delete;
  Sampler& operator=(const Sampler&) = delete;
  ~Sampler();

  /// Must be called once at most.
  Usage Stop();

 private:
  void Sample();

  pid_t pid_;
  double processor_before_;
  Usage usage_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace foxquay::bench

#endif  // FOXQUAY_BENCH_LOAD_USAGE_H_
