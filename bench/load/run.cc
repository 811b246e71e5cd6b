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

/// Notes when each token of one stream arrived.
class Stopwatch {
 public:
  explicit Stopwatch(std::string separator)
      : separator_(std::move(separator)), begun_(Clock::now()), last_(begun_) {}

  void Append(std::string_view bytes, Times& times) {
    const Clock::time_point now = Clock::now();
    tail_.append(bytes);
    for (std::size_t end = tail_.find(separator_); end != std::string::npos;
         end = tail_.find(separator_)) {
      const std::string event = tail_.substr(0, end);
      if (event.find("\"text\"") != std::string::npos) Note(now, times);
      tail_.erase(0, end + separator_.size());
    }
  }

  [[nodiscard]] std::uint32_t tokens() const noexcept { return tokens_; }

 private:
  void Note(Clock::time_point now, Times& times) {
    if (tokens_++ == 0) {
      times.first_token.push_back(Milliseconds(now - begun_));
    } else {
      times.between_tokens.push_back(Milliseconds(now - last_));
    }
    last_ = now;
  }

  std::string separator_;
  std::string tail_;
  Clock::time_point begun_;
  Clock::time_point last_;
  std::uint32_t tokens_ = 0;
};

void RunStream(const Load& load, std::uint32_t stream, Times& times) {
  const http::ServiceSend request = load.request(stream);
  Stopwatch watch(load.separator);
  (void)http::CallStreaming(request, [&](std::string_view bytes) {
    watch.Append(bytes, times);
    return true;
  });
  if (watch.tokens() != load.tokens) ++times.broken;
}

void Append(std::vector<double>& all, const std::vector<double>& some) {
  all.insert(all.end(), some.begin(), some.end());
}

}  // namespace internal

Times Run(const Load& load) {
  std::vector<Times> each(load.streams);
  std::vector<std::thread> threads;
  threads.reserve(load.streams);
  auto start = internal::Clock::now();
  for (std::uint32_t stream = 0; stream < load.streams; ++stream) {
    std::this_thread::sleep_until(start);
    start += load.spacing;
    threads.emplace_back([&load, stream, &times = each[stream]] {
      for (std::uint32_t round = 0; round < load.rounds; ++round) {
        internal::RunStream(load, stream, times);
      }
    });
  }
  Times all;
  for (std::uint32_t stream = 0; stream < load.streams; ++stream) {
    threads[stream].join();
    internal::Append(all.first_token, each[stream].first_token);
    internal::Append(all.between_tokens, each[stream].between_tokens);
    all.broken += each[stream].broken;
  }
  std::sort(all.first_token.begin(), all.first_token.end());
  std::sort(all.between_tokens.begin(), all.between_tokens.end());
  return all;
}

double Quantile(const std::vector<double>& sorted, double q) {
  if (sorted.empty()) return 0;
  const auto index =
      static_cast<std::size_t>(q * static_cast<double>(sorted.size() - 1));
  return sorted[index];
}

}  // namespace foxquay::bench
