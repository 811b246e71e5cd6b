#ifndef FOXQUAY_BENCH_LOAD_RUN_H_
#define FOXQUAY_BENCH_LOAD_RUN_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "foxquay/http/client.h"

namespace foxquay::bench {

/// A load of concurrent streams, begun one after another.
struct Load {
  std::uint32_t streams = 1;
  std::uint32_t rounds = 1;  ///< Streams run one after another on each thread.
  std::uint32_t tokens = 1;
  std::chrono::microseconds
      start_interval{};  ///< Between the starts of streams.
  /// Builds the request of the n-th stream.
  std::function<http::ServiceSend(std::uint32_t stream)> request;
  /// Ends every token in the response.
  std::string separator;
};

/// Times in milliseconds, sorted.
struct Times {
  std::vector<double> first_token;
  std::vector<double> between_tokens;
  std::uint32_t incomplete = 0;  ///< Streams without all their tokens.
};

/// Runs a load with one thread per stream and returns its times.
[[nodiscard]] Times Run(const Load& load);

/// Returns a quantile of sorted values; 0 if there are none.
[[nodiscard]] double Quantile(const std::vector<double>& sorted,
                              double quantile);

}  // namespace foxquay::bench

#endif  // FOXQUAY_BENCH_LOAD_RUN_H_
