#ifndef FOXQUAY_TESTS_PLATFORM_SOAK_WORKER_H_
#define FOXQUAY_TESTS_PLATFORM_SOAK_WORKER_H_

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
#include "platform/soak/ledger.h"

namespace foxquay::platform::soak {

/// Layers of the model, and those that one worker has memory for.
inline constexpr unsigned kLayers = 8;
inline constexpr unsigned kMaxLayers = 5;

class Worker;

/// Finds the worker that is reached at an address; null if none is alive.
using FindWorker = std::function<Worker*(const std::string& address)>;

/// One incarnation of a fake upstream: a plain service, or a model worker that
/// takes orders and answers streams. Not thread-safe; lives as long as the
/// context runs.
class Worker {
 public:
  struct Options {
    std::string id;
    std::string service;  ///< "model" or "app".
    std::string zone;
    std::string address;  ///< As announced.
    std::string ip;       ///< To listen on.
    std::uint64_t seed = 1;
  };

  /// `controls` are asked in turn to take heartbeats.
  Worker(boost::asio::io_context& context, Options options, Ledger& ledger,
         FindWorker find, std::vector<std::string> controls);
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

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
  void SetCutShare(double share) { cut_share_ = share; }
  /// Sets how many times slower it works.
  void SetPace(double pace) { pace_ = pace; }

 private:
  struct Job {
    net::Request request;
    std::string id;
    std::vector<std::string> stages;  ///< Addresses, this one's first.
    unsigned event = 0;
  };

  void Handle(net::ExchangeId exchange, net::Request&& request);
  void HandleOrder(net::ExchangeId exchange, const net::Request& request);
  /// Returns the stages that a request names; answers it if it cannot run.
  std::optional<std::vector<std::string>> Stages(net::ExchangeId exchange,
                                                 const net::Request& request);
  void Run(net::ExchangeId exchange, net::Request&& request);
  void Step(net::ExchangeId exchange);
  void Finish(net::ExchangeId exchange);
  void Beat();
  void HandleBeatEnd(bool acknowledged);
  void Respond(net::ExchangeId exchange, unsigned status,
               const std::string& body, const std::string& fault = "",
               bool not_run = false);
  [[nodiscard]] std::string Announcement();
  [[nodiscard]] std::string LayersText() const;
  [[nodiscard]] core::Duration Time(std::chrono::milliseconds usual) const;

  boost::asio::io_context& context_;
  Options options_;
  Ledger& ledger_;
  FindWorker find_;
  std::vector<std::string> controls_;
  net::Server server_;
  net::Client client_;
  std::map<net::ExchangeId, Job> jobs_;
  std::mt19937_64 random_;
  std::optional<net::CallId> beat_;
  unsigned beat_status_ = 0;
  std::uint64_t beats_ = 0;
  std::size_t control_ = 0;
  std::uint64_t born_;
  std::uint64_t orders_ = 0;
  std::uint64_t fence_ = 0;
  unsigned first_ = 0;
  unsigned end_ = 0;
  bool busy_ = false;
  bool alive_ = true;
  bool draining_ = false;
  std::optional<core::Instant>
      leaves_;  ///< Set when the drain is acknowledged.
  std::optional<core::Instant> closed_;  ///< From when on nothing may arrive.
  double cut_share_ = 0;
  double pace_ = 1;
};

}  // namespace foxquay::platform::soak

#endif  // FOXQUAY_TESTS_PLATFORM_SOAK_WORKER_H_
