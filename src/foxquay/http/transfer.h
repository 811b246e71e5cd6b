#ifndef FOXQUAY_HTTP_TRANSFER_H_
#define FOXQUAY_HTTP_TRANSFER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "foxquay/core/time.h"

namespace foxquay::http {

/// A request of a Transfer.
struct TransferRequest {
  std::string method;
  std::string url;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  core::Duration timeout{};  ///< Of the whole call; rounded up to seconds.
};

/// Head of a response, without interim ones.
struct TransferHead {
  std::uint32_t status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
};

/// Sends a request on a new connection and blocks until it has ended. Returns
/// the head of the response, or nothing unless the whole response arrived:
/// also its head must have ended before the connection did, and each line of it
/// and of the trailer must be one of HTTP/1. Thread-safe.
///
/// @param on_bytes Takes parts of the body; returns false to end the call.
[[nodiscard]] std::optional<TransferHead> Transfer(
    const TransferRequest& request,
    const std::function<bool(std::string_view)>& on_bytes);

}  // namespace foxquay::http

#endif  // FOXQUAY_HTTP_TRANSFER_H_
