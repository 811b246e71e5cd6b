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

/// Layers of the model, and the most that one upstream has memory for.
inline constexpr unsigned kModelLayers = 8;
inline constexpr unsigned kMaxHeldLayers = 5;

class FakeUpstream;

/// Returns the upstream that is reached at an address; null if none is alive.
using FindUpstream = std::function<FakeUpstream*(const std::string& address)>;

/// One incarnation of a fake upstream: an instance of a plain service, or of a
/// model, which loads layers on order and answers with streams. Not
/// thread-safe; must outlive the handlers of the context.
class FakeUpstream {
 public:
  struct Options {
    std::string id;
    std::string service;  ///< "model" or "app".
    std::string zone;
    std::string address;     ///< Announced; that of its proxy.
    std::string ip;          ///< Listens on it.
    std::string port = "0";  ///< Port to listen on; 0 for a free one.
    /// Part of a prompt on which it crashes as soon as it has begun to answer;
    /// the last part of a prompt never counts.
    std::string crashing_part;
    /// Part of a target at whose requests it crashes before the head of the
    /// answer.
    std::string crashing_target;
    /// Called with each request for an answer that arrives; may be empty.
    std::function<void(const net::Request&)> on_request;
    std::uint64_t seed = 1;
  };

  /// Heartbeats go to one of `control_addresses`, to the next after a failure.
  FakeUpstream(boost::asio::io_context& context, Options options,
               InvariantChecker& checker, FindUpstream find_upstream,
               std::vector<std::string> control_addresses);
  FakeUpstream(const FakeUpstream&) = delete;
  FakeUpstream& operator=(const FakeUpstream&) = delete;

  [[nodiscard]] std::string listener() const { return server_.address(); }
  [[nodiscard]] bool alive() const noexcept { return alive_; }
  [[nodiscard]] const Options& options() const noexcept { return options_; }
  /// Returns whether the layers from `first` up to `end`, exclusive, are
  /// loaded.
  [[nodiscard]] bool Holds(unsigned first, unsigned end) const;
  /// Returns whether a request has the crashing part or target.
  [[nodiscard]] bool Crashes(const net::Request& request) const;
  /// Aborts all requests, stops listening and sends no more heartbeats.
  void Crash();
  /// Announces that it drains; after the acknowledgement it goes on serving for
  /// a while and then crashes.
  void Drain();
  /// Says in every answer from now on that it leaves, and announces nothing.
  void SayLeaving() { says_leaving_ = true; }
  /// States in every answer from now on how many requests a second it takes
  /// from all hosts; an empty text ends this.
  void StateLimit(std::string limit) { limit_ = std::move(limit); }
  /// Answers requests with 503 and a Retry-After until `until`.
  void Decline(core::Instant until) { declines_until_ = until; }
  /// Answers inquiries with 503 and a Retry-After until `until`, and requests
  /// as before.
  void DeclineInquiries(core::Instant until) {
    declines_inquiries_until_ = until;
  }
  /// Returns how many inquiries were answered so.
  [[nodiscard]] unsigned declined_inquiries() const noexcept {
    return declined_inquiries_;
  }
  /// Sets the approximate share of answers that are aborted.
  void SetAbortProbability(double probability) {
    abort_probability_ = probability;
  }
  /// Sets the factor on the time of requests and events.
  void SetSlowdown(double slowdown) { slowdown_ = slowdown; }

 private:
  [[nodiscard]] bool CrashesBeforeHead(const net::Request& request) const;

  struct Job {
    net::Request request;
    std::string id;
    std::vector<std::string> stages;  ///< Addresses in order, its own first.
    unsigned last_event = 0;          ///< Number of the event sent last.
  };

  void Handle(net::ExchangeId exchange, net::Request&& request);
  void HandleOrder(net::ExchangeId exchange, const net::Request& request);
  /// Returns the addresses that X-Hop-Count names in order. Answers the request
  /// and returns nothing if it cannot be executed.
  std::optional<std::vector<std::string>> ParsePath(
      net::ExchangeId exchange, const net::Request& request);
  void StartJob(net::ExchangeId exchange, net::Request&& request);
  void SendEvent(net::ExchangeId exchange);
  void FinishJob(net::ExchangeId exchange);
  void SendHeartbeat();
  void HandleHeartbeatEnd(bool acknowledged);
  /// Answers with At-Server if `failed_address` is not empty.
  void Respond(net::ExchangeId exchange, unsigned status,
               const std::string& body, const std::string& failed_address = "",
               bool not_executed = false);
  [[nodiscard]] std::string Announcement();
  [[nodiscard]] std::string LayersJson() const;
  /// Returns a duration multiplied by the slowdown.
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
  std::optional<net::CallId> heartbeat_;  ///< The unanswered call.
  unsigned heartbeat_status_ = 0;
  std::uint64_t heartbeats_ = 0;   ///< Also the sequence number.
  std::size_t control_index_ = 0;  ///< In `control_addresses_`.
  std::uint64_t started_ms_;       ///< Milliseconds since the Unix epoch.
  std::uint64_t orders_taken_ = 0;
  std::uint64_t fence_ = 0;  ///< Highest fence of an order.
  // Layers held: from `first_` up to `end_`, exclusive.
  unsigned first_ = 0;
  unsigned end_ = 0;
  bool loading_ = false;
  bool alive_ = true;
  bool draining_ = false;
  /// When it crashes; set when the drain is acknowledged.
  std::optional<core::Instant> exit_at_;
  /// When the last request may arrive; set when the drain is acknowledged.
  std::optional<core::Instant> drain_bound_;
  bool says_leaving_ = false;
  std::string limit_;
  core::Instant declines_until_;
  core::Instant declines_inquiries_until_;
  unsigned declined_inquiries_ = 0;
  double abort_probability_ = 0;
  double slowdown_ = 1;
};

}  // namespace foxquay::platform::soak

#endif  // FOXQUAY_TESTS_PLATFORM_SOAK_FAKE_UPSTREAM_H_
