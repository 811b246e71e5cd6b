#ifndef FOXQUAY_BENCH_POLICY_ARRIVALS_H_
#define FOXQUAY_BENCH_POLICY_ARRIVALS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "foxquay/core/outcome.h"
#include "foxquay/core/time.h"

namespace foxquay::bench {

/// Service time of the simulated upstreams.
struct ServiceTime {
  core::Duration prefill{};  ///< Per unit of a prompt.
  core::Duration token{};    ///< Per token.
};

/// A request of the generated load.
struct Arrival {
  core::Duration at{};  ///< Since the start.
  std::string workspace;
  core::TrafficClass traffic_class = core::TrafficClass::kInteractive;
  std::uint32_t prompt_bytes = 0;
  std::uint32_t tokens = 0;      ///< Length of the answer.
  std::uint32_t max_tokens = 0;  ///< Limit that the caller sends.
  core::Duration timeout{};
  bool is_short = true;  ///< Whether the answer is short.
};

/// Parameters of a generated load.
struct Load {
  std::uint64_t seed = 1;
  core::Duration duration{};
  double slots = 0;             ///< Sum over all upstreams.
  double share = 0.8;           ///< Mean load as a share of the slots.
  double rate_variation = 0.5;  ///< Largest relative change of the rate.
  double long_share = 0.05;     ///< Share of requests with a long answer.
  /// Factor on the rate from `peak_at` for `peak_duration`.
  double peak_factor = 1;
  core::Duration peak_at{};
  core::Duration peak_duration{};
};

/// Returns the slot time that a request needs on an idle upstream.
[[nodiscard]] core::Duration SlotTime(const Arrival& arrival,
                                      const ServiceTime& service) noexcept;

/// Generates a load in order of arrival: ten workspaces, of which three send
/// three quarters of all requests, a rate that changes every 2 to 6 s, and long
/// answers with a heavy-tailed (Pareto) length.
[[nodiscard]] std::vector<Arrival> Generate(const Load& load,
                                            const ServiceTime& service);

/// Adds short requests of one workspace that need `share` of all slots on
/// average.
void AddFlood(const Load& load, const std::string& workspace, double share,
              const ServiceTime& service, std::vector<Arrival>& arrivals);

}  // namespace foxquay::bench

#endif  // FOXQUAY_BENCH_POLICY_ARRIVALS_H_
