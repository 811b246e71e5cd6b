#ifndef FOXQUAY_NET_MESSAGE_H_
#define FOXQUAY_NET_MESSAGE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "foxquay/core/time.h"
#include "foxquay/net/fwd.h"

namespace foxquay::net {

/// A complete request.
struct Request {
  std::string method;
  std::string target;  ///< Path and query as received, not decoded.
  Fields fields;
  std::string body;
  /// Of a received request, the index of the server's listener, by calls of
  /// Server::Listen.
  std::size_t listener = 0;
};

/// A response; the body is empty if the response is streamed.
struct Response {
  unsigned status = 200;
  Fields fields;  ///< Without hop-by-hop fields.
  std::string body;
};

/// Returns a response with a body of media type `type`. Thread-safe.
[[nodiscard]] Response MakeResponse(unsigned status, const std::string& type,
                                    std::string body);

/// Returns a plain-text response with the reason why a request is not served.
/// `retry_after` sets the field Retry-After, in seconds with three decimals.
/// Thread-safe.
[[nodiscard]] Response MakeRefusal(unsigned status, std::string_view reason,
                                   std::optional<core::Duration> retry_after);

/// Removes the hop-by-hop fields, which apply to one connection only, including
/// those listed in the field Connection. Thread-safe.
void RemoveHopByHopFields(Fields& fields);

/// Serializes a request; adds Content-Length, except for a GET without a body.
/// Thread-safe.
[[nodiscard]] std::string Serialize(const Request& request);

/// Serializes a response with Content-Length, and with `Connection: close`
/// unless `keep_alive`. Thread-safe.
[[nodiscard]] std::string Serialize(const Response& response, bool keep_alive);

/// Serializes the head of a response whose body is sent in chunks, with
/// `Connection: close` unless `keep_alive`. Thread-safe.
[[nodiscard]] std::string SerializeHead(const Response& response,
                                        bool keep_alive);

/// Serializes one chunk of a response body. Thread-safe. Precondition: `data`
/// is not empty, as an empty chunk ends the body.
[[nodiscard]] std::string SerializeChunk(const std::string& data);

}  // namespace foxquay::net

#endif  // FOXQUAY_NET_MESSAGE_H_
