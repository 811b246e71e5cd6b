#ifndef FOXQUAY_TESTS_PLATFORM_SOAK_USERS_H_
#define FOXQUAY_TESTS_PLATFORM_SOAK_USERS_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "foxquay/net/client.h"
#include "platform/soak/ledger.h"

namespace foxquay::platform::soak {

/// Sends one call and passes its whole answer on; status 0 if it did not come.
class Caller {
 public:
  using Done = std::function<void(unsigned status, const net::Fields& fields,
                                  const std::string& body)>;

  explicit Caller(boost::asio::io_context& context);
  /// Uses a kept connection if there is one.
  void Send(const std::string& address, const net::Request& request, Done done);

 private:
  struct Open {
    unsigned status = 0;
    net::Fields fields;
    std::string body;
    Done done;
  };

  void Sweep();
  void End(net::CallId call, bool whole);

  boost::asio::io_context& context_;
  net::Client client_;
  std::unordered_map<net::CallId, Open> open_;
};

/// The operator: replaces the configuration, takes keys away and reads it back.
/// Not thread-safe; lives as long as the context runs.
class Operator {
 public:
  Operator(boost::asio::io_context& context, Ledger& ledger,
           std::vector<std::string> controls, std::uint64_t seed);

  /// Sends the next version, to a host drawn by lot, until it is acknowledged.
  void Change();
  /// As Change, with another key in the place of the one that callers use.
  void Revoke();
  /// Reads the configuration from one host.
  void Read(std::size_t control);
  /// Returns the key in force, and one that was taken away.
  [[nodiscard]] const std::string& key() const { return key_; }
  [[nodiscard]] const std::string& old_key() const { return old_key_; }
  [[nodiscard]] std::uint64_t acknowledged() const { return acknowledged_; }
  /// Returns the newest version that this read gave back, 0 if none did.
  [[nodiscard]] std::uint64_t read_back() const { return read_back_; }
  void ForgetReads() { read_back_ = 0; }

 private:
  [[nodiscard]] std::string Write(std::uint64_t version) const;
  /// `revoked` is the key that the version takes away, or empty.
  void Put(std::uint64_t version, const std::string& revoked);
  void HandleAcknowledged(std::uint64_t version, const std::string& revoked);

  boost::asio::io_context& context_;
  Ledger& ledger_;
  Caller caller_;
  std::vector<std::string> controls_;
  std::mt19937_64 random_;
  std::map<std::uint64_t, std::string> sent_;
  /// Acknowledged versions by the time from which no older one may be read.
  std::map<core::Instant, std::uint64_t> bounds_;
  std::uint64_t version_ = 0;
  std::uint64_t acknowledged_ = 0;
  std::uint64_t read_back_ = 0;
  std::uint64_t next_key_ = 0;
  std::string written_key_ = "key-0";
  std::string key_ = kFixedKey;
  std::string old_key_ = kFixedKey;
};

/// Callers: each interval one request of a kind drawn by lot. Not thread-safe;
/// lives as long as the context runs.
class Crowd {
 public:
  Crowd(boost::asio::io_context& context, Ledger& ledger, Operator& owner,
        std::vector<std::string> entries, std::uint64_t seed);
  void Start() { Send(++run_); }
  void Stop() { ++run_; }

 private:
  /// Sends one request and the next ones, until Start or Stop is called again.
  void Send(unsigned run);

  boost::asio::io_context& context_;
  Ledger& ledger_;
  Operator& operator_;
  Caller caller_;
  std::vector<std::string> entries_;
  std::mt19937_64 random_;
  std::uint64_t next_ = 1;
  unsigned run_ = 0;
};

}  // namespace foxquay::platform::soak

#endif  // FOXQUAY_TESTS_PLATFORM_SOAK_USERS_H_
