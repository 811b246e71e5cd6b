#ifndef FOXQUAY_HTTP_CALLER_H_
#define FOXQUAY_HTTP_CALLER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "foxquay/core/outcome.h"
#include "foxquay/core/time.h"
#include "foxquay/dispatch/action.h"
#include "foxquay/dispatch/event.h"
#include "foxquay/http/server.h"

namespace foxquay::http {

/// Fault in the form of a request; nothing of the request has run.
struct Problem {
  std::uint32_t status = 400;
  std::string field;    ///< Header, JSON key, `path` or `body`.
  std::string message;  ///< What is wrong and what is expected.
};

/// A well-formed completion request.
struct CompletionRequest {
  dispatch::Submission submission;
  bool stream = false;
};

/// A well-formed service request.
struct ServiceRequest {
  dispatch::Submission submission;
  std::string path;  ///< Path and query at the upstream, with leading slash.
};

/// Bounds that the form of a request is checked against.
struct RequestLimits {
  std::uint32_t max_tokens = 0;  ///< Largest and default `max_tokens`.
};

/// Reads `POST /v1/completions`.
[[nodiscard]] std::variant<CompletionRequest, Problem> ReadCompletion(
    const Incoming& incoming, const RequestLimits& limits);

/// Reads `ANY /v1/services/{service}/{path}`.
[[nodiscard]] std::variant<ServiceRequest, Problem> ReadServiceCall(
    const Incoming& incoming);

/// Renders a fault of form with outcome not-run.
[[nodiscard]] Outgoing Render(const Problem& problem);

/// Where a caller may connect.
struct EntryAddress {
  std::string host;
  std::string address;
  std::string data_centre;
  std::uint32_t weight = 0;
};

/// Answer of `GET /v1/entry`.
struct EntryAnswer {
  std::vector<EntryAddress> addresses;
  core::Duration ttl{};
};

[[nodiscard]] Outgoing Render(const EntryAnswer& answer);

/// Renders a whole completion.
[[nodiscard]] Outgoing RenderCompletion(const std::string& text,
                                        std::uint32_t tokens);

/// Renders the recorded answer of a claimed service call.
[[nodiscard]] Outgoing RenderRecorded(const dispatch::Finish& finish);

/// Renders the end of a request that is not complete.
[[nodiscard]] Outgoing RenderFailure(const dispatch::Finish& finish,
                                     const std::vector<EntryAddress>& others);

/// Renders one token as a server-sent event.
[[nodiscard]] std::string TokenEvent(std::uint32_t index,
                                     const std::string& text);

/// Renders the last server-sent event of a stream.
[[nodiscard]] std::string FinishEvent(const dispatch::Finish& finish);

}  // namespace foxquay::http

#endif  // FOXQUAY_HTTP_CALLER_H_
