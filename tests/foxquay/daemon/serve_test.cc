#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>  // NOLINT: signal numbers for kill
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <future>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "fakes/token.h"
#include "foxquay/http/endpoint.h"
#include "foxquay/http/server.h"
#include "host_fixture.h"

namespace foxquay::daemon {
namespace {

constexpr std::uint32_t kLayers = 8;

std::string Outcome(const http::ServiceResult& result) {
  if (!result.reply) return "";
  for (const auto& [name, value] : result.reply->headers) {
    if (name == "X-Foxquay-Outcome") return value;
  }
  return "";
}

/// Opens a connection to the host and sends a completion request.
int SendRaw(const HostFixture& fixture, const std::string& body,
            int receive_bytes = 0) {
  const auto endpoint = http::ParseEndpoint(fixture.caller());
  REQUIRE(endpoint);
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_bytes > 0) {
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
               sizeof(receive_bytes));
  }
  REQUIRE(connect(descriptor,
                  reinterpret_cast<const sockaddr*>(&endpoint.value().storage),
                  endpoint.value().size) == 0);
  const std::string request =
      "POST /v1/completions HTTP/1.1\r\nHost: test\r\n"
      "X-Foxquay-Workspace: test\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body;
  REQUIRE(send(descriptor, request.data(), request.size(), 0) ==
          static_cast<ssize_t>(request.size()));
  return descriptor;
}

bool HasCancel(const std::vector<std::string>& lines) {
  return std::any_of(lines.begin(), lines.end(), [](const std::string& line) {
    return line.starts_with("cancel ");
  });
}

}  // namespace

// Guards against lost, repeated or reordered tokens and layers when a request
// passes through two upstreams without a failure.
TEST_CASE("a completion runs every layer of every token once") {
  HostFixture fixture;
  fixture.StartModel("stage-1", 0, 3, kLayers);
  fixture.StartModel("stage-2", 4, 7, kLayers);
  REQUIRE(fixture.AwaitModelReady());

  constexpr std::uint32_t kTokens = 100;  // more than one leg
  SECTION("streamed") {
    CHECK(
        IsCompleteStream(fixture.Stream("p", kTokens), "p", kTokens, kLayers));
  }
  SECTION("collected") {
    const auto result = fixture.Complete("p", kTokens);
    REQUIRE(result.reply);
    CHECK(Outcome(result) == "complete");
    std::string expected;
    for (std::uint32_t index = 0; index < kTokens; ++index) {
      expected += fakes::ExpectedToken("p", index, kLayers);
    }
    const auto body = nlohmann::json::parse(result.reply->body);
    CHECK(body["text"] == expected);
    CHECK(body["outcome"] == "complete");
  }
  for (const char* stage : {"stage-1", "stage-2"}) {
    const auto counts = CountLines(fixture.Log(stage));
    CHECK(counts.size() == kTokens * kLayers / 2);
    CHECK(std::all_of(counts.begin(), counts.end(),
                      [](const auto& entry) { return entry.second == 1; }));
  }
}

// Guards against a caller that receives a token twice or never when the
// upstream that serves a stage is killed or stops responding.
TEST_CASE("a stream resumes on another upstream of the same layers") {
  HostFixture fixture;
  fixture.StartModel("stage-1", 0, 3, kLayers);
  std::map<std::string, Process*> stages;
  stages["stage-2a"] = &fixture.StartModel("stage-2a", 4, 7, kLayers);
  stages["stage-2b"] = &fixture.StartModel("stage-2b", 4, 7, kLayers);
  REQUIRE(fixture.AwaitModelReady());
  const int signal = GENERATE(SIGKILL, SIGSTOP);
  CAPTURE(signal);

  constexpr std::uint32_t kTokens = 120;
  auto answer = std::async(std::launch::async,
                           [&fixture] { return fixture.Stream("p", kTokens); });
  std::string serving;
  REQUIRE(Await([&] {
    for (const auto& [id, process] : stages) {
      if (fixture.Log(id).size() > 20) serving = id;
    }
    return !serving.empty();
  }));
  stages[serving]->Signal(signal);
  CHECK(IsCompleteStream(answer.get(), "p", kTokens, kLayers));
}

// Guards against a shutdown that interrupts a stream or exits with an error.
TEST_CASE("SIGTERM finishes the streams in flight") {
  HostFixture fixture;
  fixture.StartModel("whole", 0, 7, kLayers);
  REQUIRE(fixture.AwaitModelReady());

  constexpr std::uint32_t kTokens = 700;  // 7 s, longer than the entry answer
  auto answer = std::async(std::launch::async,
                           [&fixture] { return fixture.Stream("p", kTokens); });
  REQUIRE(Await([&] { return fixture.Log("whole").size() > 20; }));
  fixture.host().Signal(SIGTERM);

  // The host is no longer in the entry answer but still admits requests.
  REQUIRE(Await([&] {
    const auto entry = fixture.Send("GET", "/v1/entry", "", {});
    return entry.reply &&
           nlohmann::json::parse(entry.reply->body)["addresses"].empty();
  }));
  CHECK(Outcome(fixture.Complete("late", 1)) == "complete");
  CHECK(IsCompleteStream(answer.get(), "p", kTokens, kLayers));
  CHECK(fixture.host().Wait() == EXIT_SUCCESS);
}

// Guards against a drain that an operator cannot abort, and against interrupted
// requests that are missing from the log.
TEST_CASE("a second SIGTERM exits at once and logs the interrupted requests") {
  HostFixture fixture;
  fixture.StartModel("whole", 0, 7, kLayers);
  REQUIRE(fixture.AwaitModelReady());
  auto answer = std::async(std::launch::async,
                           [&fixture] { return fixture.Stream("p", 2000); });
  REQUIRE(Await([&] { return fixture.Log("whole").size() > 20; }));
  fixture.host().Signal(SIGTERM);
  REQUIRE(Await([&] { return Contains(fixture.HostLog(), "drain-started"); }));
  fixture.host().Signal(SIGTERM);
  CHECK(fixture.host().Wait() == EXIT_FAILURE);
  CHECK(answer.get().outcome.empty());
  CHECK(Contains(fixture.HostLog(), "event=cut-off request="));
}

// Guards against requests that keep their slot after the caller has closed its
// connection.
TEST_CASE("a disconnected caller frees its stream") {
  HostFixture fixture;
  fixture.StartModel("whole", 0, 7, kLayers);
  REQUIRE(fixture.AwaitModelReady());
  const bool stream = GENERATE(true, false);
  CAPTURE(stream);
  const int caller = SendRaw(fixture, nlohmann::json({{"model", "tiny"},
                                                      {"prompt", "p"},
                                                      {"max_tokens", 4000},
                                                      {"stream", stream}})
                                          .dump());
  REQUIRE(Await([&] { return fixture.Log("whole").size() > 20; }));
  close(caller);
  CHECK(Await([&] { return HasCancel(fixture.Log("whole")); }));
}

// Guards against streams that keep their slot although the connected caller
// never reads. The small receive buffer makes the host's writes block early.
TEST_CASE("a slow reader frees its stream") {
  HostFixture fixture;
  fixture.StartModel("whole", 0, 7, kLayers, {"--token-time", "5"});
  REQUIRE(fixture.AwaitModelReady());
  const int caller = SendRaw(fixture,
                             nlohmann::json({{"model", "tiny"},
                                             {"prompt", "p"},
                                             {"max_tokens", 4096},
                                             {"stream", true}})
                                 .dump(),
                             /*receive_bytes=*/1024);
  CHECK(Await([&] { return HasCancel(fixture.Log("whole")); }));
  close(caller);
}

// Guards against a drain that blocks on a canceled leg: its thread waits in the
// HTTP client for an upstream that no longer responds.
TEST_CASE("a drain does not wait for canceled legs") {
  HostFixture fixture;
  Process& stage = fixture.StartModel("whole", 0, 7, kLayers);
  REQUIRE(fixture.AwaitModelReady());
  auto answer = std::async(std::launch::async,
                           [&fixture] { return fixture.Stream("p", 500); });
  REQUIRE(Await([&] { return fixture.Log("whole").size() > 20; }));
  stage.Signal(SIGSTOP);
  CHECK(answer.get().outcome == "failed");
  fixture.host().Signal(SIGTERM);
  CHECK(fixture.host().Wait() == EXIT_SUCCESS);
}

// Guards against the outcome not-run for a request that an upstream has run.
TEST_CASE("not-run means that no upstream ran anything") {
  HostFixture fixture;
  fixture.StartModel("stage-1", 0, 3, kLayers);
  fixture.StartService("desk-1");
  REQUIRE(fixture.AwaitServiceReady());

  SECTION("no path covers the model") {
    REQUIRE(Await([&] {
      const auto result = fixture.Complete("p", 5);
      return result.reply &&
             result.reply->body.find("layers 4") != std::string::npos;
    }));
    CHECK(Outcome(fixture.Complete("p", 5)) == "not-run");
  }
  SECTION("an idempotency key expires too late") {
    const auto result = fixture.Send("POST", "/v1/services/desk/book", "{}",
                                     {{"X-Foxquay-Workspace", "test"},
                                      {"X-Foxquay-No-Repeat", "true"},
                                      {"Idempotency-Key", "99999999999.a"}});
    CHECK(Outcome(result) == "not-run");
    CHECK(result.reply->status == 410);
  }
  CHECK(fixture.Log("stage-1").empty());
  CHECK(fixture.Log("desk-1").empty());
}

// Guards against service calls that are altered or hang in the host.
TEST_CASE("a service call keeps its method, path and body") {
  HostFixture fixture;
  fixture.StartService("desk-1");
  REQUIRE(fixture.AwaitServiceReady());
  const Headers headers = {{"X-Foxquay-Workspace", "test"}};
  for (const char* method : {"GET", "POST", "PUT", "DELETE", "PATCH"}) {
    CAPTURE(method);
    const std::string body = method[0] == 'P' ? "a\nb" : "";
    const auto result =
        fixture.Send(method, "/v1/services/desk/a%20b?c=d", body, headers);
    REQUIRE(result.reply);
    CHECK(Outcome(result) == "complete");
    const auto seen = nlohmann::json::parse(result.reply->body);
    CHECK(seen["method"] == method);
    CHECK(seen["path"] == "/a%20b?c=d");
    CHECK(seen["body"] == body);
  }
  // The test client turns HEAD into GET, as the host does.
  CHECK(fixture.Send("HEAD", "/v1/services/desk", "", headers).reply);
}

// Guards against a protected call that is sent to a second upstream after the
// first one died without answering.
TEST_CASE("a protected call without a key runs at most once") {
  HostFixture fixture;
  fixture.StartService("desk-1", {"--die-after", "1"});
  REQUIRE(fixture.AwaitServiceReady());
  fixture.StartService("desk-2");
  const auto result = fixture.Send(
      "POST", "/v1/services/desk/book", "{}",
      {{"X-Foxquay-Workspace", "test"}, {"X-Foxquay-No-Repeat", "true"}});
  const std::size_t runs =
      fixture.Log("desk-1").size() + fixture.Log("desk-2").size();
  CHECK(runs == 1);
  CHECK(Outcome(result) ==
        (fixture.Log("desk-1").empty() ? "complete" : "unknown"));
}

// Guards against malformed requests that are dispatched, or rejected without a
// reason or a log line.
TEST_CASE("a malformed request gets a 4xx that names the field") {
  struct Row {
    std::string name;
    std::string path;
    std::string body;
    Headers headers;
    std::uint32_t status;
    std::string field;
  };
  const std::string path = "/v1/completions";
  const std::string good = R"({"model":"tiny","prompt":"p","max_tokens":1})";
  const Headers workspace = {{"X-Foxquay-Workspace", "test"}};
  const auto with = [&workspace](const std::string& name,
                                 const std::string& value) {
    Headers headers = workspace;
    headers.emplace_back(name, value);
    return headers;
  };
  const std::vector<Row> rows = {
      {"broken JSON", path, "{\"model\":", workspace, 400, "body"},
      {"not an object", path, "[1]", workspace, 400, "body"},
      {"empty body", path, "", workspace, 400, "body"},
      {"no model", path, R"({"prompt":"p"})", workspace, 400, "model"},
      {"no prompt", path, R"({"model":"tiny"})", workspace, 400, "prompt"},
      {"unknown model", path, R"({"model":"none","prompt":"p"})", workspace,
       404, "model"},
      {"prompt is a number", path, R"({"model":"tiny","prompt":1})", workspace,
       400, "prompt"},
      {"negative max_tokens", path,
       R"({"model":"tiny","prompt":"p","max_tokens":-1})", workspace, 400,
       "max_tokens"},
      {"too many tokens", path,
       R"({"model":"tiny","prompt":"p","max_tokens":99999999999})", workspace,
       400, "max_tokens"},
      {"stream is text", path,
       R"({"model":"tiny","prompt":"p","stream":"yes"})", workspace, 400,
       "stream"},
      {"oversized", path, std::string(70000, ' ') + good, workspace, 413,
       "body"},
      {"no workspace", path, good, {}, 400, "X-Foxquay-Workspace"},
      {"malformed workspace",
       path,
       good,
       {{"X-Foxquay-Workspace", "a b\xff"}},
       400,
       "X-Foxquay-Workspace"},
      {"unknown class", path, good, with("X-Foxquay-Class", "urgent"), 400,
       "X-Foxquay-Class"},
      {"negative timeout", path, good, with("X-Foxquay-Timeout", "-5"), 400,
       "X-Foxquay-Timeout"},
      {"timeout is text", path, good, with("X-Foxquay-Timeout", "1s"), 400,
       "X-Foxquay-Timeout"},
      {"overflowing timeout", path, good,
       with("X-Foxquay-Timeout", "99999999999999999999"), 400,
       "X-Foxquay-Timeout"},
      {"unclear no-repeat", path, good, with("X-Foxquay-No-Repeat", "yes"), 400,
       "X-Foxquay-No-Repeat"},
      {"unknown service", "/v1/services/none/x", "", workspace, 404, "service"},
      {"malformed service", "/v1/services/%20/x", "", workspace, 400, "path"},
      {"unknown path", "/v2", "", workspace, 404, "path"},
  };
  HostFixture fixture;
  fixture.StartModel("whole", 0, 7, kLayers);
  REQUIRE(fixture.AwaitModelReady());
  // A host that has just started does not reject unknown names yet, because
  // upstreams may not have announced themselves.
  REQUIRE(Await([&] {
    const auto result = fixture.Send(
        "POST", path, R"({"model":"none","prompt":"p"})", workspace);
    return result.reply && result.reply->status == 404;
  }));
  for (const Row& row : rows) {
    INFO(row.name);
    const auto result = fixture.Send("POST", row.path, row.body, row.headers);
    REQUIRE(result.reply);
    CHECK(result.reply->status == row.status);
    CHECK(Outcome(result) == "not-run");
    const auto body = nlohmann::json::parse(result.reply->body);
    CHECK(body["error"]["field"] == row.field);
    CHECK(!body["error"]["message"].get<std::string>().empty());
    CHECK(body["outcome"] == "not-run");
  }
  Headers protected_call = with("X-Foxquay-No-Repeat", "true");
  protected_call.emplace_back("Idempotency-Key", "no-expiry");
  const auto result = fixture.Send("POST", path, good, protected_call);
  REQUIRE(result.reply);
  CHECK(result.reply->status == 400);
  CHECK(fixture.Log("whole").empty());
  CHECK(Contains(fixture.HostLog(), "outcome=not-run tokens=0"));
}

}  // namespace foxquay::daemon
