#include "run.h"

#include <algorithm>
#include <cstddef>
#include <string_view>
#include <thread>

namespace foxquay::bench {
namespace internal {

using Clock = std::chrono::steady_clock;

double Milliseconds(Clock::duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

/// Measures when the tokens of one stream arrive.
class TokenTimer {
 public:
  explicit TokenTimer(std::string separator)
      : separator_(std::move(separator)),
        started_(Clock::now()),
        last_(started_) {}

  void Append(std::string_view bytes, Times& times) {
    const Clock::time_point now = Clock::now();
    buffer_.append(bytes);
    for (std::size_t end = buffer_.find(separator_); end != std::string::npos;
         end = buffer_.find(separator_)) {
      const std::string event = buffer_.substr(0, end);
      if (event.find("\"text\"") != std::string::npos) RecordToken(now, times);
      buffer_.erase(0, end + separator_.size());
    }
  }

  [[nodiscard]] std::uint32_t tokens() const noexcept { return tokens_; }

 private:
  void RecordToken(Clock::time_point now, Times& times) {
    if (tokens_++ == 0) {
      times.first_token.push_back(Milliseconds(now - started_));
    } else {
      times.between_tokens.push_back(Milliseconds(now - last_));
    }
    last_ = now;
  }

  std::string separator_;
  std::string buffer_;
  Clock::time_point started_;
  Clock::time_point last_;
  std::uint32_t tokens_ = 0;
};

void RunStream(const Load& load, std::uint32_t stream, Times& times) {
  const http::ServiceSend request = load.request(stream);
  TokenTimer timer(load.separator);
  (void)http::CallStreaming(request, [&](std::string_view bytes) {
    timer.Append(bytes, times);
    return true;
  });
  if (timer.tokens() != load.tokens) ++times.incomplete;
}

void Append(std::vector<double>& all, const std::vector<double>& values) {
  all.insert(all.end(), values.begin(), values.end());
}

}  // namespace internal

Times Run(const Load& load) {
  std::vector<Times> per_stream(load.streams);
  std::vector<std::thread> threads;
  threads.reserve(load.streams);
  auto start = internal::Clock::now();
  for (std::uint32_t stream = 0; stream < load.streams; ++stream) {
    std::this_thread::sleep_until(start);
    start += load.start_interval;
    threads.emplace_back([&load, stream, &times = per_stream[stream]] {
      for (std::uint32_t round = 0; round < load.rounds; ++round) {
        internal::RunStream(load, stream, times);
      }
    });
  }
  Times all;
  for (std::uint32_t stream = 0; stream < load.streams; ++stream) {
    threads[stream].join();
    internal::Append(all.first_token, per_stream[stream].first_token);
    internal::Append(all.between_tokens, per_stream[stream].between_tokens);
    all.incomplete += per_stream[stream].incomplete;
  }
  std::sort(all.first_token.begin(), all.first_token.end());
  std::sort(all.between_tokens.begin(), all.between_tokens.end());
  return all;
}

double Quantile(const std::vector<double>& sorted, double quantile) {
  if (sorted.empty()) return 0;
  const auto index = static_cast<std::size_t>(
      quantile * static_cast<double>(sorted.size() - 1));
  return sorted[index];
}

}  // namespace foxquay::bench
