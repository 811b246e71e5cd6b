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

/// One token of a leg's response.
struct TokenLine {
  std::uint64_t epoch = 0;
  std::uint32_t index = 0;
  std::string text;
};

/// How a leg ended, as seen from its first stage.
struct LegResult {
  dispatch::LegEnd end = dispatch::LegEnd::kFailed;
  std::optional<core::UpstreamId> culprit;  ///< Stage that failed, if known.
};

/// Sends a leg to the first stage of its chain and blocks until it has ended.
///
/// @param name Name that upstreams know the request by; unique among hosts.
/// @param on_token Called for each token; returns false to close the
/// connection.
[[nodiscard]] LegResult RunLeg(
    const dispatch::StartLeg& leg, const std::string& name,
    const std::function<bool(TokenLine&&)>& on_token);

/// Cancels the legs of a request up to `epoch` at an upstream.
/// Blocks for up to 2 s; failures are ignored.
void CancelLeg(const std::string& address, const std::string& name,
               std::uint64_t epoch);

/// An HTTP request to send.
struct ServiceSend {
  std::string method;
  std::string address;
  std::string path;  ///< Path and query.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  core::Duration time_left{};  ///< Timeout of the whole call.
};

/// HTTP response to a ServiceSend.
struct ServiceReply {
  std::uint32_t status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

/// Result of a service call.
struct ServiceResult {
  std::optional<ServiceReply> reply;  ///< Set if the complete response arrived.
  bool sent = false;  ///< Whether any byte may have reached the receiver.
};

/// Sends a request and blocks until the response is complete or the call has
/// failed. A response body above 16 MiB fails the call.
[[nodiscard]] ServiceResult CallService(const ServiceSend& call);

/// Like CallService, but passes the response body to `on_bytes` as it arrives,
/// without a limit on its size; the body of the reply stays empty.
///
/// @param on_bytes Returns false to close the connection.
[[nodiscard]] ServiceResult CallStreaming(
    const ServiceSend& call,
    const std::function<bool(std::string_view)>& on_bytes);

}  // namespace foxquay::http

#endif  // FOXQUAY_HTTP_CLIENT_H_
