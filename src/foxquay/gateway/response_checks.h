#ifndef FOXQUAY_GATEWAY_RESPONSE_CHECKS_H_
#define FOXQUAY_GATEWAY_RESPONSE_CHECKS_H_

#include <cstddef>

#include "foxquay/net/client.h"
#include "foxquay/net/message.h"
#include "foxquay/relay/decision.h"

namespace foxquay::gateway::internal {

/// Size of an answer that is not a stream, in bytes, from which it is passed on
/// as it arrives instead of being buffered until it is complete.
inline constexpr std::size_t kMaxBufferedBytes = std::size_t{256} << 10U;

/// Returns whether a response has neither a length nor chunks. Thread-safe.
[[nodiscard]] bool EndsWithConnection(const net::Fields& fields);

/// Returns whether a complete response is not told from one of an upstream that
/// ended after the head. Thread-safe.
[[nodiscard]] bool LacksBody(const net::Response& response,
                             bool ends_with_connection,
                             const net::Request& request);

/// Returns what the failure of a call says about its request. Thread-safe.
[[nodiscard]] relay::LossKind ToLossKind(net::Failure failure);

}  // namespace foxquay::gateway::internal

#endif  // FOXQUAY_GATEWAY_RESPONSE_CHECKS_H_
