#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "foxquay/http/caller.h"

namespace foxquay::http {
namespace internal {

using Json = nlohmann::json;

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::int64_t Milliseconds(core::Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

Json AddressList(const std::vector<EntryAddress>& addresses) {
  Json list = Json::array();
  for (const EntryAddress& entry : addresses) {
    list.push_back({{"host", entry.host},
                    {"address", entry.address},
                    {"data_centre", entry.data_centre},
                    {"weight", entry.weight}});
  }
  return list;
}

Outgoing JsonResponse(std::uint32_t status, core::Outcome outcome,
                      const Json& body) {
  Outgoing outgoing;
  outgoing.status = status;
  outgoing.headers = {{"Content-Type", "application/json"},
                      {"X-Foxquay-Outcome", std::string(core::Name(outcome))}};
  outgoing.body = Dump(body);
  return outgoing;
}

std::uint32_t ClaimStatus(dispatch::ClaimDecision decision) {
  switch (decision) {
    case dispatch::ClaimDecision::kRunning:
      return 409;
    case dispatch::ClaimDecision::kExpired:
      return 410;
    case dispatch::ClaimDecision::kMismatch:
      return 422;
    default:
      return 503;
  }
}

std::uint32_t Status(const dispatch::Finish& finish) {
  switch (finish.outcome) {
    case core::Outcome::kComplete:
      return 200;
    case core::Outcome::kNotRun:
      return finish.claim ? ClaimStatus(*finish.claim) : 503;
    case core::Outcome::kUnknown:
      return 504;
    case core::Outcome::kFailed:
      return 502;
  }
  return 500;
}

/// Adds the Retry-After header in whole seconds, rounded up, and the time in
/// milliseconds to the body.
void AddRetryAfter(const dispatch::Finish& finish, Json& body,
                   Outgoing& outgoing) {
  if (!finish.retry_after) return;
  const std::int64_t wait =
      std::max<std::int64_t>(Milliseconds(*finish.retry_after), 0);
  body["retry_after_ms"] = wait;
  outgoing.headers.emplace_back("Retry-After",
                                std::to_string((wait + 999) / 1000));
}

}  // namespace internal

Outgoing Render(const Problem& problem) {
  return internal::JsonResponse(
      problem.status, core::Outcome::kNotRun,
      {{"error", {{"field", problem.field}, {"message", problem.message}}},
       {"outcome", core::Name(core::Outcome::kNotRun)}});
}

Outgoing Render(const EntryAnswer& answer) {
  Outgoing outgoing;
  outgoing.headers = {{"Content-Type", "application/json"},
                      {"Cache-Control", "no-store"}};
  outgoing.body =
      internal::Dump({{"addresses", internal::AddressList(answer.addresses)},
                      {"ttl_ms", internal::Milliseconds(answer.ttl)}});
  return outgoing;
}

Outgoing RenderCompletion(const std::string& text, std::uint32_t tokens) {
  return internal::JsonResponse(
      200, core::Outcome::kComplete,
      {{"outcome", "complete"}, {"text", text}, {"tokens", tokens}});
}

Outgoing RenderRecorded(const dispatch::Finish& finish) {
  Outgoing outgoing;
  outgoing.status = finish.status;
  outgoing.headers = {{"Content-Type", "application/octet-stream"},
                      {"X-Foxquay-Outcome", "complete"},
                      {"X-Foxquay-Recorded", "true"}};
  outgoing.body = finish.body;
  return outgoing;
}

Outgoing RenderFailure(const dispatch::Finish& finish,
                       const std::vector<EntryAddress>& others) {
  internal::Json body = {{"error", {{"message", finish.reason}}},
                         {"outcome", core::Name(finish.outcome)}};
  if (finish.outcome == core::Outcome::kNotRun && !others.empty()) {
    body["addresses"] = internal::AddressList(others);
  }
  Outgoing outgoing =
      internal::JsonResponse(internal::Status(finish), finish.outcome, body);
  internal::AddRetryAfter(finish, body, outgoing);
  outgoing.body = internal::Dump(body);
  return outgoing;
}

std::string TokenEvent(std::uint32_t index, const std::string& text) {
  return "data: " +
         internal::Dump(internal::Json{{"index", index}, {"text", text}}) +
         "\n\n";
}

std::string FinishEvent(const dispatch::Finish& finish) {
  internal::Json event = {{"outcome", core::Name(finish.outcome)}};
  if (finish.outcome != core::Outcome::kComplete) {
    event["error"] = finish.reason;
    if (finish.retry_after) {
      event["retry_after_ms"] = internal::Milliseconds(*finish.retry_after);
    }
  }
  return "data: " + internal::Dump(event) + "\n\n";
}

}  // namespace foxquay::http
