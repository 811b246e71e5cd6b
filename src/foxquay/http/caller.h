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

/// Reason why a request was rejected before any part of it was executed.
struct Problem {
  std::uint32_t status = 400;
  std::string field;    ///< Header or JSON key, or `path` or `body`.
  std::string message;  ///< What is wrong and what is expected.
};

/// A validated completion request.
struct CompletionRequest {
  dispatch::Submission submission;
  bool stream = false;  ///< Whether tokens are sent as server-sent events.
};

/// A validated call to a service.
struct ServiceRequest {
  dispatch::Submission submission;
  std::string path;  ///< Path and query for the upstream, with leading slash.
};

/// Limits that requests are validated against.
struct RequestLimits {
  std::uint32_t max_tokens = 0;  ///< Upper bound and default of `max_tokens`.
};

/// Parses and validates `POST /v1/completions`.
[[nodiscard]] std::variant<CompletionRequest, Problem> ReadCompletion(
    const Incoming& incoming, const RequestLimits& limits);

/// Parses and validates a request of any method to
/// `/v1/services/{service}/{path}`.
[[nodiscard]] std::variant<ServiceRequest, Problem> ReadServiceCall(
    const Incoming& incoming);

/// Renders a rejected request, with the outcome not-run.
[[nodiscard]] Outgoing Render(const Problem& problem);

/// Address of a host that accepts callers.
struct EntryAddress {
  std::string host;
  std::string address;
  std::string data_centre;
  std::uint32_t weight = 0;  ///< Relative to hosts of its data centre.
};

/// Response to `GET /v1/entry`.
struct EntryAnswer {
  std::vector<EntryAddress> addresses;
  core::Duration ttl{};  ///< Time that a caller may cache the addresses.
};

[[nodiscard]] Outgoing Render(const EntryAnswer& answer);

/// Renders a completion as one JSON response.
///
/// @param tokens Number of tokens in `text`.
[[nodiscard]] Outgoing RenderCompletion(const std::string& text,
                                        std::uint32_t tokens);

/// Renders the recorded response of an earlier call with the same idempotency
/// key.
[[nodiscard]] Outgoing RenderRecorded(const dispatch::Finish& finish);

/// Renders the end of a request whose outcome is not complete.
///
/// @param others Addresses that the caller may try; included only if the
/// outcome is not-run.
[[nodiscard]] Outgoing RenderFailure(const dispatch::Finish& finish,
                                     const std::vector<EntryAddress>& others);

/// Formats one token as a server-sent event.
[[nodiscard]] std::string TokenEvent(std::uint32_t index,
                                     const std::string& text);

/// Formats the last server-sent event of a stream.
[[nodiscard]] std::string FinishEvent(const dispatch::Finish& finish);

}  // namespace foxquay::http

#endif  // FOXQUAY_HTTP_CALLER_H_
