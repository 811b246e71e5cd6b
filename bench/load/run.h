#ifndef FOXQUAY_BENCH_LOAD_RUN_H_
#define FOXQUAY_BENCH_LOAD_RUN_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "foxquay/http/client.h"

namespace foxquay::bench {

/// A load of concurrent streams that start one after another.
struct Load {
  std::uint32_t streams = 1;
  std::uint32_t rounds = 1;  ///< Streams that each thread runs in sequence.
  std::uint32_t tokens = 1;  ///< Per stream.
  std::chrono::microseconds
      start_interval{};  ///< Between the starts of streams.
  /// Builds the request of the n-th stream.
  std::function<http::ServiceSend(std::uint32_t stream)> request;
  /// Bytes after each token in the response.
  std::string separator;
};

/// Times in milliseconds, in ascending order.
struct Times {
  std::vector<double> first_token;
  std::vector<double> between_tokens;
  std::uint32_t incomplete = 0;  ///< Streams without all their tokens.
};

/// Runs a load with one thread per stream and returns its times.
[[nodiscard]] Times Run(const Load& load);

/// Returns a quantile, 0 to 1, of values in ascending order; 0 if there are
/// none.
[[nodiscard]] double Quantile(const std::vector<double>& sorted,
                              double quantile);

}  // namespace foxquay::bench

#endif  // FOXQUAY_BENCH_LOAD_RUN_H_
