#ifndef FOXQUAY_TESTS_PLATFORM_SOAK_CLIENTS_H_
#define FOXQUAY_TESTS_PLATFORM_SOAK_CLIENTS_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "foxquay/net/client.h"
#include "platform/soak/invariant_checker.h"

namespace foxquay::platform::soak {

/// Sends one call and passes its whole answer on; status 0 if it did not come.
class BufferingClient {
 public:
  using Callback = std::function<void(
      unsigned status, const net::Fields& fields, const std::string& body)>;

  explicit BufferingClient(boost::asio::io_context& context);
  /// Uses a kept connection if there is one.
  void Send(const std::string& address, const net::Request& request,
            Callback callback);

 private:
  struct PendingCall {
    unsigned status = 0;
    net::Fields fields;
    std::string body;
    Callback callback;
  };

  void SweepPeriodically();
  void Finish(net::CallId call, bool complete);

  boost::asio::io_context& context_;
  net::Client client_;
  std::unordered_map<net::CallId, PendingCall> pending_;
};

/// The operator: replaces the configuration, takes keys away and reads it back.
/// Not thread-safe; lives as long as the context runs.
class Operator {
 public:
  Operator(boost::asio::io_context& context, InvariantChecker& checker,
           std::vector<std::string> control_addresses, std::uint64_t seed);

  /// Sends the next version, to a host drawn by lot, until it is acknowledged.
  void ReplaceConfiguration();
  /// As Change, with another key in the place of the one that callers use.
  void RevokeKey();
  /// Reads the configuration from one host.
  void ReadConfiguration(std::size_t control);
  /// Returns the key in force, and one that was taken away.
  [[nodiscard]] const std::string& key() const { return key_; }
  [[nodiscard]] const std::string& revoked_key() const { return revoked_key_; }
  [[nodiscard]] std::uint64_t acknowledged() const { return acknowledged_; }
  /// Returns the newest version that this read gave back, 0 if none did.
  [[nodiscard]] std::uint64_t read_back() const { return read_back_; }
  void ResetReadBack() { read_back_ = 0; }

 private:
  [[nodiscard]] std::string BuildConfiguration(std::uint64_t version) const;
  /// `revoked` is the key that the version takes away, or empty.
  void PutConfiguration(std::uint64_t version, const std::string& revoked);
  void HandleAcknowledged(std::uint64_t version, const std::string& revoked);

  boost::asio::io_context& context_;
  InvariantChecker& checker_;
  BufferingClient client_;
  std::vector<std::string> control_addresses_;
  std::mt19937_64 random_;
  std::map<std::uint64_t, std::string> sent_versions_;
  /// Acknowledged versions by the time from which no older one may be read.
  std::map<core::Instant, std::uint64_t> oldest_readable_;
  std::uint64_t version_ = 0;
  std::uint64_t acknowledged_ = 0;
  std::uint64_t read_back_ = 0;
  std::uint64_t key_number_ = 0;
  std::string configured_key_ = "key-0";
  std::string key_ = kPermanentKey;
  std::string revoked_key_ = kPermanentKey;
};

/// Callers: each interval one request of a kind drawn by lot. Not thread-safe;
/// lives as long as the context runs.
class LoadGenerator {
 public:
  LoadGenerator(boost::asio::io_context& context, InvariantChecker& checker,
                Operator& config_operator,
                std::vector<std::string> entry_addresses, std::uint64_t seed);
  void Start() { SendNext(++generation_); }
  void Stop() { ++generation_; }

 private:
  /// Sends one request and the next ones, until Start or Stop is called again.
  void SendNext(unsigned generation);

  boost::asio::io_context& context_;
  InvariantChecker& checker_;
  Operator& operator_;
  BufferingClient client_;
  std::vector<std::string> entry_addresses_;
  std::mt19937_64 random_;
  std::uint64_t next_id_ = 1;
  unsigned generation_ = 0;
};

}  // namespace foxquay::platform::soak

#endif  // FOXQUAY_TESTS_PLATFORM_SOAK_CLIENTS_H_
