#ifndef FOXQUAY_GATEWAY_PROBER_H_
#define FOXQUAY_GATEWAY_PROBER_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/gateway/protocol.h"
#include "foxquay/net/client.h"

namespace foxquay::gateway {

/// What a probe of an upstream has shown.
enum class ProbeResult : std::uint8_t {
  kReached,      ///< It answered.
  kReplaced,     ///< Another upstream answered at its address.
  kUnreachable,  ///< The connection was refused.
  kTimedOut,     ///< No connection could be opened in time.
  kSilent,       ///< The connection ended or nothing came in time.
};

/// Returns the name of a result as used in logs. Thread-safe.
[[nodiscard]] const char* Name(ProbeResult result) noexcept;

/// Sends inquiries to upstreams to find out whether they still run.
///
/// Not thread-safe: runs on the thread of the io_context.
class Prober {
 public:
  using Done = std::function<void(ProbeResult)>;

  /// `on_statements` takes what an upstream states in the head of its answer.
  Prober(boost::asio::io_context& context, const Protocol& protocol,
         StatementsHandler on_statements);

  /// Sends an inquiry to an upstream, on a new connection, and calls `done`
  /// once. The answer to an inquiry names none, so that on a kept connection an
  /// earlier one could be taken for it.
  void Probe(const core::UpstreamId& upstream, const std::string& address,
             Done done);

  /// Ends probes without a response. Must be called at least every second.
  void Review(core::Instant now);

 private:
  struct Pending {
    core::UpstreamId upstream;
    Done done;
    core::Instant deadline;
    unsigned status = 0;
  };

  void HandleHead(net::CallId id, unsigned status, const net::Fields& fields);
  void Finish(net::CallId id, ProbeResult result);

  Protocol protocol_;
  StatementsHandler on_statements_;
  net::Client client_;
  std::unordered_map<net::CallId, Pending> pending_;
};

}  // namespace foxquay::gateway

#endif  // FOXQUAY_GATEWAY_PROBER_H_
