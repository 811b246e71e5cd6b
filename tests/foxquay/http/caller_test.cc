#include "foxquay/http/caller.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>

#include "foxquay/http/upstream.h"

namespace foxquay::http {
namespace {

Incoming Request(const std::string& body) {
  Incoming incoming;
  incoming.method = "POST";
  incoming.url = "/v1/completions";
  incoming.headers = {{"x-foxquay-workspace", "azraq"}};
  incoming.body = body;
  return incoming;
}

nlohmann::json Announcement() {
  return {{"sequence", 7},
          {"address", "10.0.0.1:80"},
          {"kind", "model"},
          {"model", "m"},
          {"layers", {{"first", 2}, {"last", 3}}},
          {"model_layers", 4}};
}

std::string FieldOf(const nlohmann::json& announcement) {
  Incoming incoming;
  incoming.parameters = {{"id", "u"}};
  incoming.body = announcement.dump();
  const auto read = ReadAnnouncement(incoming);
  const auto* problem = std::get_if<Problem>(&read);
  return problem == nullptr ? "" : problem->field;
}

}  // namespace

// Guards against headers or body keys that are lost during parsing.
TEST_CASE("all headers and body keys of a completion are parsed") {
  Incoming incoming = Request(
      R"({"model":"m","prompt":"p","adapter":"a","version":"v","stream":true})");
  incoming.headers.emplace_back("X-Foxquay-Class", "batch");
  incoming.headers.emplace_back("X-Foxquay-Timeout", "250");
  incoming.headers.emplace_back("X-Foxquay-No-Repeat", "true");
  incoming.headers.emplace_back("Idempotency-Key", "1900000000.k");
  const auto read = ReadCompletion(incoming, {4096});
  const auto* request = std::get_if<CompletionRequest>(&read);
  REQUIRE(request != nullptr);
  CHECK(request->stream);
  const dispatch::Submission& submission = request->submission;
  CHECK(submission.workspace.value() == "azraq");
  CHECK(submission.traffic_class == core::TrafficClass::kBatch);
  CHECK(submission.timeout == std::chrono::milliseconds(250));
  CHECK(submission.no_repeat);
  CHECK(submission.idempotency_key == "1900000000.k");
  const auto& work = std::get<dispatch::Completion>(submission.work);
  CHECK(work.adapter == "a");
  CHECK(work.version == "v");
  CHECK(work.max_tokens == 4096);
}

// Guards against service paths that are decoded or altered on the way to the
// upstream.
TEST_CASE("a service path is forwarded unchanged") {
  Incoming incoming = Request("");
  const auto path = [&incoming](const std::string& url) {
    incoming.url = url;
    const auto read = ReadServiceCall(incoming);
    const auto* request = std::get_if<ServiceRequest>(&read);
    return request == nullptr ? "refused" : request->path;
  };
  CHECK(path("/v1/services/desk/a%2Fb/c?d=e%20f") == "/a%2Fb/c?d=e%20f");
  CHECK(path("/v1/services/desk") == "/");
  CHECK(path("/v1/services/desk?x=1") == "/?x=1");
  CHECK(path("/v1/services//a") == "refused");
}

// Guards against announcements from which no valid chain can be built.
TEST_CASE("a malformed announcement is rejected with the name of the field") {
  CHECK(FieldOf(Announcement()).empty());
  const auto broken = [](const std::string& key, const nlohmann::json& value) {
    nlohmann::json announcement = Announcement();
    announcement[key] = value;
    return FieldOf(announcement);
  };
  CHECK(broken("address", "host:80") == "address");
  CHECK(broken("kind", "cache") == "kind");
  CHECK(broken("model", "") == "model");
  CHECK(broken("layers", {{"first", 3}, {"last", 2}}) == "layers");
  CHECK(broken("layers", {{"first", 0}, {"last", 4}}) == "layers");
  CHECK(broken("layers", 5) == "layers");
  CHECK(broken("sequence", -1) == "sequence");
  CHECK(broken("slots", 1e20) == "slots");
  CHECK(broken("adapters", {1}) == "adapters");
  CHECK(broken("leaving", "yes") == "leaving");
}

// Guards against responses without the retry time or the other addresses.
TEST_CASE("a not-run response states the retry time and other addresses") {
  dispatch::Finish finish;
  finish.outcome = core::Outcome::kNotRun;
  finish.reason = "busy";
  finish.retry_after = std::chrono::milliseconds(1200);
  const Outgoing outgoing =
      RenderFailure(finish, {{"h", "10.0.0.2:80", "dc", 100}});
  CHECK(outgoing.status == 503);
  const auto body = nlohmann::json::parse(outgoing.body);
  CHECK(body["retry_after_ms"] == 1200);
  CHECK(body["addresses"][0]["address"] == "10.0.0.2:80");
  Incoming headers;
  headers.headers = outgoing.headers;
  CHECK(headers.Header("Retry-After") == "2");
  CHECK(headers.Header("X-Foxquay-Outcome") == "not-run");
}

}  // namespace foxquay::http
