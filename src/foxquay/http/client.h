#ifndef FOXQUAY_HTTP_CLIENT_H_
#define FOXQUAY_HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "foxquay/core/time.h"
#include "foxquay/dispatch/action.h"
#include "foxquay/dispatch/event.h"

namespace foxquay::http {

/// One token line of a leg.
struct TokenLine {
  std::uint64_t epoch = 0;
  std::uint32_t index = 0;
  std::string text;
};

/// How a leg ended at its head stage.
struct LegResult {
  dispatch::LegEnd end = dispatch::LegEnd::kFailed;
  std::optional<core::UpstreamId> culprit;  ///< Failing stage, if known.
};

/// Runs a leg at the head of its chain and blocks until it has ended.
///
/// @param name Name of the request towards upstreams, unique between hosts.
/// @param on_token Called for each token; false ends the connection.
[[nodiscard]] LegResult RunLeg(
    const dispatch::StartLeg& leg, const std::string& name,
    const std::function<bool(TokenLine&&)>& on_token);

/// Cancels a request's legs up to `epoch` at an upstream; best effort.
void CancelLeg(const std::string& address, const std::string& name,
               std::uint64_t epoch);

/// A service call as sent to an upstream.
struct ServiceSend {
  std::string method;
  std::string address;
  std::string path;  ///< Path and query.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  core::Duration time_left{};
};

/// Answer of a service upstream.
struct ServiceReply {
  std::uint32_t status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

/// Result of a service call.
struct ServiceResult {
  std::optional<ServiceReply> reply;  ///< Set if the whole answer arrived.
  bool sent = false;  ///< Whether any byte may have reached the upstream.
};

/// Sends a service call and blocks until it is answered or has failed.
[[nodiscard]] ServiceResult CallService(const ServiceSend& call);

/// Like CallService, but hands on the body as it arrives; false from
/// `on_bytes` ends the connection. The reply's body stays empty.
[[nodiscard]] ServiceResult CallStreaming(
    const ServiceSend& call,
    const std::function<bool(std::string_view)>& on_bytes);

}  // namespace foxquay::http

#endif  // FOXQUAY_HTTP_CLIENT_H_
