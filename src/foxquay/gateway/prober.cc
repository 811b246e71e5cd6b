#include "foxquay/gateway/prober.h"

#include <utility>
#include <vector>

#include "foxquay/net/clock.h"

namespace foxquay::gateway {
namespace internal {

/// Time in which an upstream answers an inquiry; more than the time to connect
/// and a queue in front of it.
constexpr core::Duration kProbeTimeout = std::chrono::milliseconds(1000);

/// Status by which an upstream rejects a request that is meant for another one
/// (421 Misdirected Request).
constexpr unsigned kMisdirected = 421;

ProbeResult ToProbeResult(net::Failure failure) {
  switch (failure) {
    case net::Failure::kNotSent:
      return ProbeResult::kUnreachable;
    case net::Failure::kTimedOut:
      return ProbeResult::kTimedOut;
    case net::Failure::kLost:
    case net::Failure::kMalformed:
    case net::Failure::kCut:
      break;
  }
  return ProbeResult::kSilent;
}

}  // namespace internal

const char* Name(ProbeResult result) noexcept {
  switch (result) {
    case ProbeResult::kReached:
      return "reached";
    case ProbeResult::kReplaced:
      return "replaced";
    case ProbeResult::kUnreachable:
      return "unreachable";
    case ProbeResult::kTimedOut:
      return "timed-out";
    case ProbeResult::kSilent:
      return "silent";
  }
  return "";
}

Prober::Prober(boost::asio::io_context& context, const Protocol& protocol,
               StatementsHandler on_statements)
    : protocol_(protocol),
      on_statements_(std::move(on_statements)),
      client_(context,
              {[this](net::CallId id, unsigned status, net::Fields&& fields) {
                 HandleHead(id, status, fields);
               },
               [](net::CallId, const std::string&) {},
               [this](net::CallId id) {
                 const bool replaced =
                     pending_.at(id).status == internal::kMisdirected;
                 Finish(id, replaced ? ProbeResult::kReplaced
                                     : ProbeResult::kReached);
               },
               [this](net::CallId id, net::Failure failure) {
                 Finish(id, internal::ToProbeResult(failure));
               }}) {}

void Prober::Probe(const core::UpstreamId& upstream, const std::string& address,
                   Done done) {
  net::CallOptions options;
  options.reuse = false;
  options.keep = false;
  const net::CallId id = client_.Call(
      address, net::Serialize(protocol_.write_inquiry(upstream)), options);
  pending_[id] = {upstream, std::move(done),
                  net::SteadyNow() + internal::kProbeTimeout, 0};
}

void Prober::HandleHead(net::CallId id, unsigned status,
                        const net::Fields& fields) {
  Pending& probe = pending_.at(id);
  probe.status = status;
  // Another upstream that answers at the address speaks for itself.
  if (status == internal::kMisdirected) return;
  on_statements_(probe.upstream, protocol_.read_response(status, fields));
}

void Prober::Finish(net::CallId id, ProbeResult result) {
  const auto node = pending_.extract(id);
  node.mapped().done(result);
}

void Prober::Review(core::Instant now) {
  client_.Sweep(now);
  std::vector<net::CallId> expired;
  for (const auto& [id, probe] : pending_) {
    if (now >= probe.deadline) expired.push_back(id);
  }
  for (const net::CallId id : expired) {
    client_.Cancel(id);
    Finish(id, ProbeResult::kSilent);
  }
}

}  // namespace foxquay::gateway
