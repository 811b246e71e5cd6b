#include <popt.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "foxquay/http/server.h"
#include "process.h"
#include "run.h"
#include "usage.h"

namespace foxquay::bench {
namespace {

using Json = nlohmann::json;

constexpr std::uint32_t kUpstreams = 8;
constexpr std::chrono::milliseconds kTokenTime{36};
constexpr std::chrono::seconds kTimeout{120};
// Streams start at the planned rate of 131 requests/s.
constexpr std::chrono::microseconds kStartInterval{7634};

/// A host process and fake model upstreams that announce themselves to it.
class TestBed {
 public:
  TestBed() {
    std::string name = "/tmp/foxquay-bench-XXXXXX";
    if (mkdtemp(name.data()) == nullptr) std::abort();
    folder_ = name;
    caller_ = daemon::FreeAddress();
    const std::string upstream = daemon::FreeAddress();
    std::ofstream(folder_ + "/host.yaml")
        << "host: {id: bench, data_centre: dc, region: r, "
        << "roles: [entry, control], data_folder: " << folder_ << "/data}\n"
        << "listeners: {caller: \"" << caller_ << "\", upstream: \"" << upstream
        << "\", admin: \"" << daemon::FreeAddress() << "\", peer: \""
        << daemon::FreeAddress() << "\"}\n"
        << "security: {cluster: bench, peer_key_file: " << folder_
        << "/key, operator_token_file: " << folder_
        << "/token, upstream_networks: [127.0.0.0/8]}\n";
    for (const char* file : {"/key", "/token"}) {
      std::ofstream(folder_ + file) << std::string(32, 'x') << "\n";
      std::filesystem::permissions(folder_ + file,
                                   std::filesystem::perms::owner_all);
    }
    Start({FOXQUAYD_BINARY, "--config", folder_ + "/host.yaml"});
    for (std::uint32_t index = 0; index < kUpstreams; ++index) {
      upstream_addresses_.push_back(daemon::FreeAddress());
      Start({FAKE_MODEL_BINARY, "--id", "fake-" + std::to_string(index),
             "--listen", upstream_addresses_.back(), "--announce", upstream,
             "--model", "m", "--model-layers", "1", "--slots", "256",
             "--token-time", std::to_string(kTokenTime.count())});
    }
  }

  ~TestBed() {
    processes_.clear();
    std::filesystem::remove_all(folder_);
  }
  TestBed(const TestBed&) = delete;
  TestBed& operator=(const TestBed&) = delete;

  /// Waits until the host routes to the upstreams.
  [[nodiscard]] bool Ready() const {
    return daemon::Await([this] {
      const http::ServiceResult result = http::CallService(RoutedRequest(1));
      return result.reply && result.reply->status == 200;
    });
  }

  /// Returns a streamed completion through the host.
  [[nodiscard]] http::ServiceSend RoutedRequest(std::uint32_t tokens) const {
    http::ServiceSend call;
    call.method = "POST";
    call.address = caller_;
    call.path = "/v1/completions";
    call.headers = {{"X-Foxquay-Workspace", "bench"}};
    call.body = Json({{"model", "m"},
                      {"prompt", "p"},
                      {"max_tokens", tokens},
                      {"stream", true}})
                    .dump();
    call.time_left = kTimeout;
    return call;
  }

  /// Returns a leg of the same length, sent directly to an upstream.
  [[nodiscard]] http::ServiceSend DirectRequest(std::uint32_t stream,
                                                std::uint32_t tokens) {
    const std::string& address = upstream_addresses_[stream % kUpstreams];
    http::ServiceSend call;
    call.method = "POST";
    call.address = address;
    call.path = "/v1/legs";
    const Json chain = Json::array(
        {{{"id", "x"}, {"address", address}, {"first", 0}, {"last", 0}}});
    call.body = Json({{"request", "direct-" + std::to_string(stream)},
                      {"epoch", ++epoch_},
                      {"first_token", 0},
                      {"count", tokens},
                      {"prompt", "p"},
                      {"delivered", Json::array()},
                      {"chain", chain}})
                    .dump();
    call.time_left = kTimeout;
    return call;
  }

  /// Returns the process id of the host.
  [[nodiscard]] pid_t host() const { return processes_.front().pid(); }

 private:
  void Start(const std::vector<std::string>& command) {
    processes_.emplace_back(command, folder_ + "/log");
  }

  std::string folder_;
  std::string caller_;
  std::vector<std::string> upstream_addresses_;
  std::vector<daemon::Process> processes_;
  std::atomic<std::uint64_t> epoch_{0};
};

/// Prints quantiles in ms of both paths and their difference.
void PrintRow(const char* what, std::uint32_t streams,
              const std::vector<double>& direct,
              const std::vector<double>& routed) {
  std::printf("| %u | %s |", streams, what);
  for (const double quantile : {0.5, 0.95, 0.99}) {
    const double direct_ms = Quantile(direct, quantile);
    const double routed_ms = Quantile(routed, quantile);
    std::printf(" %.2f | %.2f | %.2f |", direct_ms, routed_ms,
                routed_ms - direct_ms);
  }
  std::printf("\n");
}

/// Runs the same load directly and through the host, and prints times and
/// resources of the host.
void Measure(TestBed& test_bed, std::uint32_t streams, std::uint32_t tokens) {
  Load load;
  load.streams = streams;
  load.rounds = streams == 1 ? 20 : 1;
  load.tokens = tokens;
  load.start_interval = kStartInterval;
  load.separator = "\n";
  load.request = [&](std::uint32_t stream) {
    return test_bed.DirectRequest(stream, tokens);
  };
  const Times direct = Run(load);
  load.separator = "\n\n";
  load.request = [&](std::uint32_t) { return test_bed.RoutedRequest(tokens); };
  Sampler sampler(test_bed.host());
  const Times routed = Run(load);
  const Usage usage = sampler.Stop();
  PrintRow("first token", streams, direct.first_token, routed.first_token);
  PrintRow("between tokens", streams, direct.between_tokens,
           routed.between_tokens);
  const double total = static_cast<double>(tokens) * streams * load.rounds;
  std::printf(
      "| %u | resources | threads %llu | resident %.0f MB | processor %.1f s "
      "| %.1f ms/stream | %.1f us/token | broken streams %u direct, %u "
      "routed |\n",
      streams, static_cast<unsigned long long>(usage.threads),  // NOLINT
      usage.resident_mb, usage.processor_seconds,
      usage.processor_seconds * 1e3 / (streams * load.rounds),
      usage.processor_seconds * 1e6 / total, direct.incomplete,
      routed.incomplete);
  std::fflush(stdout);
}

}  // namespace
}  // namespace foxquay::bench

int main(int argc, const char** argv) {
  int tokens = 400;
  char* levels = nullptr;
  const std::array<poptOption, 4> table{{
      {"tokens", 0, POPT_ARG_INT, &tokens, 0, "Tokens per stream", "N"},
      {"streams", 0, POPT_ARG_STRING, &levels, 0,
       "Numbers of concurrent streams, separated by commas", "N,..."},
      POPT_AUTOHELP POPT_TABLEEND,
  }};
  poptContext context =
      poptGetContext("bench_load", argc, argv, table.data(), 0);
  if (poptGetNextOpt(context) < -1) return EXIT_FAILURE;
  poptFreeContext(context);
  const foxquay::http::Library library;
  foxquay::bench::TestBed test_bed;
  if (!test_bed.Ready()) {
    std::cerr << "the host did not complete a request within 20 s\n";
    return EXIT_FAILURE;
  }
  std::printf(
      "| streams | time (ms) | median direct | routed | added | p95 direct | "
      "routed | added | p99 direct | routed | added |\n"
      "|---|---|---|---|---|---|---|---|---|---|---|\n");
  std::istringstream list(levels == nullptr ? "1,100,1240" : levels);
  std::free(levels);  // NOLINT: popt allocates with malloc
  for (std::string level; std::getline(list, level, ',');) {
    const auto streams = static_cast<std::uint32_t>(std::stoul(level));
    const int token_count = streams == 1 ? 50 : tokens;
    foxquay::bench::Measure(test_bed, std::min(streams, 2000U),
                            static_cast<std::uint32_t>(token_count));
  }
  return EXIT_SUCCESS;
}
