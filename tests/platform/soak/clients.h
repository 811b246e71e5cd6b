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

/// An HTTP client that buffers each answer until it is complete. Not
/// thread-safe; must outlive the handlers of the context.
class BufferingClient {
 public:
  /// Receives the answer; status 0 if none was complete in time.
  using Callback = std::function<void(
      unsigned status, const net::Fields& fields, const std::string& body)>;

  explicit BufferingClient(boost::asio::io_context& context);
  /// Sends a request, on an idle connection if there is one.
  void Send(const std::string& address, const net::Request& request,
            Callback callback);

 private:
  struct PendingCall {
    unsigned status = 0;
    net::Fields fields;
    std::string body;
    Callback callback;
  };

  /// Closes idle connections at an interval.
  void SweepPeriodically();
  void Finish(net::CallId call, bool complete);

  boost::asio::io_context& context_;
  net::Client client_;
  std::unordered_map<net::CallId, PendingCall> pending_;
};

/// The operator: replaces the configuration, revokes API keys and reads the
/// configuration back. Not thread-safe; must outlive the handlers of the
/// context.
class Operator {
 public:
  Operator(boost::asio::io_context& context, InvariantChecker& checker,
           std::vector<std::string> control_addresses, std::uint64_t seed);

  /// Sends the next version until it is acknowledged, each time to a random
  /// control host.
  void ReplaceConfiguration();
  /// As ReplaceConfiguration, with a new API key in place of the one that
  /// callers use besides the permanent key.
  void RevokeKey();
  /// As ReplaceConfiguration, with an empty list of tenants, so that callers
  /// have no valid key any more.
  void RevokeAllKeys();
  /// Reads the configuration from one control host and checks that it is a
  /// version that was sent and not older than allowed.
  void ReadConfiguration(std::size_t control);
  /// Sends a document to one control host, once.
  void PutDocument(const std::string& document, std::size_t control,
                   BufferingClient::Callback callback);
  /// Returns the configuration of the newest version sent.
  [[nodiscard]] const std::string& document() const {
    return sent_versions_.at(version_);
  }
  /// Returns an API key in force and the key revoked last; both are the
  /// permanent key while there is no other.
  [[nodiscard]] const std::string& key() const { return key_; }
  [[nodiscard]] const std::string& revoked_key() const { return revoked_key_; }
  /// Returns the key of the configuration sent last.
  [[nodiscard]] const std::string& configured_key() const {
    return configured_key_;
  }
  /// Returns the newest version sent.
  [[nodiscard]] std::uint64_t version() const { return version_; }
  /// Returns the newest acknowledged version, 0 if there is none.
  [[nodiscard]] std::uint64_t acknowledged() const { return acknowledged_; }
  /// Returns the newest version read since ResetReadBack, 0 if none was.
  [[nodiscard]] std::uint64_t read_back() const { return read_back_; }
  void ResetReadBack() { read_back_ = 0; }

 private:
  [[nodiscard]] std::string BuildConfiguration(std::uint64_t version) const;
  /// `revoked` is the key that the version no longer contains, or empty.
  void PutConfiguration(std::uint64_t version, const std::string& revoked);
  void HandleAcknowledged(std::uint64_t version, const std::string& revoked);

  boost::asio::io_context& context_;
  InvariantChecker& checker_;
  BufferingClient client_;
  std::vector<std::string> control_addresses_;
  std::mt19937_64 random_;
  /// Configurations by version.
  std::map<std::uint64_t, std::string> sent_versions_;
  /// Acknowledged versions, by the time from which no older one may be read.
  std::map<core::Instant, std::uint64_t> oldest_readable_;
  std::uint64_t version_ = 0;
  std::uint64_t acknowledged_ = 0;
  std::uint64_t read_back_ = 0;
  std::uint64_t key_number_ = 0;
  std::string configured_key_ = "key-0";  ///< In the newest configuration.
  bool keyless_ = false;  ///< Whether the newest one has no keys.
  std::string key_ = kPermanentKey;
  std::string revoked_key_ = kPermanentKey;
};

/// Sends one request of a random kind, with a random key, to a random entry
/// host at a fixed interval. Not thread-safe; must outlive the handlers of the
/// context.
class LoadGenerator {
 public:
  LoadGenerator(boost::asio::io_context& context, InvariantChecker& checker,
                Operator& config_operator,
                std::vector<std::string> entry_addresses, std::uint64_t seed);
  /// Replaces a series of requests that is running by a new one.
  void Start() { SendNext(++generation_); }
  void Stop() { ++generation_; }

 private:
  /// Sends one request and schedules the next, until Start or Stop has changed
  /// the generation.
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
