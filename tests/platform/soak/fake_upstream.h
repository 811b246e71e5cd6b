#ifndef FOXQUAY_TESTS_PLATFORM_SOAK_FAKE_UPSTREAM_H_
#define FOXQUAY_TESTS_PLATFORM_SOAK_FAKE_UPSTREAM_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "foxquay/net/client.h"
#include "foxquay/net/server.h"
#include "platform/soak/invariant_checker.h"

namespace foxquay::platform::soak {

/// Layers of the model, and those that one worker has memory for.
inline constexpr unsigned kModelLayers = 8;
inline constexpr unsigned kMaxHeldLayers = 5;

class FakeUpstream;

/// Finds the worker that is reached at an address; null if none is alive.
using FindUpstream = std::function<FakeUpstream*(const std::string& address)>;

/// One incarnation of a fake upstream: a plain service, or a model worker that
/// takes orders and answers streams. Not thread-safe; lives as long as the
/// context runs.
class FakeUpstream {
 public:
  struct Options {
    std::string id;
    std::string service;  ///< "model" or "app".
    std::string zone;
    std::string address;  ///< As announced.
    std::string ip;       ///< To listen on.
    std::uint64_t seed = 1;
  };

  /// `control_addresses` are asked in turn to take heartbeats.
  FakeUpstream(boost::asio::io_context& context, Options options,
               InvariantChecker& checker, FindUpstream find_upstream,
               std::vector<std::string> control_addresses);
  FakeUpstream(const FakeUpstream&) = delete;
  FakeUpstream& operator=(const FakeUpstream&) = delete;

  [[nodiscard]] std::string listener() const { return server_.address(); }
  [[nodiscard]] bool alive() const noexcept { return alive_; }
  [[nodiscard]] const Options& options() const noexcept { return options_; }
  /// Returns whether it can run these layers now.
  [[nodiscard]] bool Holds(unsigned first, unsigned end) const;
  /// Cuts all that is open and answers nothing from now on.
  void Crash();
  /// Announces that it leaves, serves for a while, then ends.
  void Drain();
  /// Sets the part of answers that end early.
  void SetAbortProbability(double probability) {
    abort_probability_ = probability;
  }
  /// Sets how many times slower it works.
  void SetSlowdown(double slowdown) { slowdown_ = slowdown; }

 private:
  struct Job {
    net::Request request;
    std::string id;
    std::vector<std::string> stages;  ///< Addresses, this one's first.
    unsigned last_event = 0;
  };

  void Handle(net::ExchangeId exchange, net::Request&& request);
  void HandleOrder(net::ExchangeId exchange, const net::Request& request);
  /// Returns the stages that a request names; answers it if it cannot run.
  std::optional<std::vector<std::string>> ParsePath(
      net::ExchangeId exchange, const net::Request& request);
  void StartJob(net::ExchangeId exchange, net::Request&& request);
  void SendEvent(net::ExchangeId exchange);
  void FinishJob(net::ExchangeId exchange);
  void SendHeartbeat();
  void HandleHeartbeatEnd(bool acknowledged);
  void Respond(net::ExchangeId exchange, unsigned status,
               const std::string& body, const std::string& failed_address = "",
               bool not_executed = false);
  [[nodiscard]] std::string Announcement();
  [[nodiscard]] std::string LayersJson() const;
  [[nodiscard]] core::Duration Slowed(std::chrono::milliseconds normal) const;

  boost::asio::io_context& context_;
  Options options_;
  InvariantChecker& checker_;
  FindUpstream find_upstream_;
  std::vector<std::string> control_addresses_;
  net::Server server_;
  net::Client client_;
  std::map<net::ExchangeId, Job> jobs_;
  std::mt19937_64 random_;
  std::optional<net::CallId> heartbeat_;
  unsigned heartbeat_status_ = 0;
  std::uint64_t heartbeats_ = 0;
  std::size_t control_index_ = 0;
  std::uint64_t started_ms_;
  std::uint64_t orders_taken_ = 0;
  std::uint64_t fence_ = 0;
  unsigned first_ = 0;
  unsigned end_ = 0;
  bool loading_ = false;
  bool alive_ = true;
  bool draining_ = false;
  std::optional<core::Instant>
      exit_at_;  ///< Set when the drain is acknowledged.
  std::optional<core::Instant>
      drain_bound_;  ///< From when on nothing may arrive.
  double abort_probability_ = 0;
  double slowdown_ = 1;
};

}  // namespace foxquay::platform::soak

#endif  // FOXQUAY_TESTS_PLATFORM_SOAK_FAKE_UPSTREAM_H_
