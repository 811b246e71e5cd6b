#ifndef FOXQUAY_NET_MESSAGE_H_
#define FOXQUAY_NET_MESSAGE_H_

#include <optional>
#include <string>
#include <string_view>

#include "foxquay/core/time.h"
#include "foxquay/net/fwd.h"

namespace foxquay::net {

/// A whole request as received.
struct Request {
  std::string method;
  std::string target;  ///< Path and query, unchanged.
  Fields fields;
  std::string body;
};

/// A response; the body is empty for one that is streamed.
struct Response {
  unsigned status = 200;
  Fields fields;  ///< Without those that concern only one connection.
  std::string body;
};

/// Returns a response with a body of a media type.
[[nodiscard]] Response MakeResponse(unsigned status, const std::string& type,
                                    std::string body);

/// Returns a response that says why a request is not served and, if known, when
/// to return. Thread-safe.
[[nodiscard]] Response MakeRefusal(unsigned status, std::string_view reason,
                                   std::optional<core::Duration> retry_after);

/// Removes the fields that concern only one connection, and those that the
/// field Connection names. Thread-safe.
void RemoveHopByHopFields(Fields& fields);

/// Writes the head and body of a request with a length. Thread-safe.
[[nodiscard]] std::string Serialize(const Request& request);

/// Writes a response with a length. Thread-safe.
[[nodiscard]] std::string Serialize(const Response& response, bool keep_alive);

/// Writes the head of a response that is sent in chunks. Thread-safe.
[[nodiscard]] std::string SerializeHead(const Response& response,
                                        bool keep_alive);

/// Writes one chunk of a response. Precondition: `data` is not empty.
[[nodiscard]] std::string SerializeChunk(const std::string& data);

}  // namespace foxquay::net

#endif  // FOXQUAY_NET_MESSAGE_H_
