#include <catch2/catch.hpp>
#include <chrono>
#include <set>
#include <string>
#include <utility>

#include "foxquay/net/clock.h"
#include "gateway/raw_upstream.h"
#include "platform/scenarios/scenario.h"

namespace foxquay::platform::scenarios {
namespace {

using gateway::RawUpstream;

/// Returns the value of a request's field.
std::string FieldOf(const std::string& request, const std::string& name) {
  const std::size_t at = request.find("\r\n" + name + ": ");
  if (at == std::string::npos) return "";
  const std::size_t begin = at + name.size() + 4;
  return request.substr(begin, request.find("\r\n", begin) - begin);
}

/// Returns the head of an answer with neither length nor chunks.
std::string HeadFor(const std::string& request, const std::string& type) {
  const std::string id = FieldOf(request, "X-Request-Id");
  return "HTTP/1.1 200 OK\r\nContent-Type: " + type +
         "\r\nX-Request-Id: " + id + "\r\nX-Response-Stamp: " + id + "\r\n\r\n";
}

std::string Framed(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
         "Content-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Returns the body of an announcement.
std::string Announcement(const std::string& service, const std::string& address,
                         const std::string& zone, const std::string& layers) {
  return R"({"service":")" + service + R"(","address":")" + address +
         R"(","zone":")" + zone +
         R"(","version":"v1","slots":64,"state":"ready","cold_left_ms":0,)"
         R"("born":1000,"seq":SEQ)" +
         layers + "}";
}

}  // namespace

TEST_CASE("plain answers without a length are complete unless reset") {
  Scenario::Options options;
  options.models = 0;
  options.apps = 2;
  Scenario scenario(options);
  scenario.AwaitServing();
  boost::asio::io_context& context = scenario.context();
  unsigned resets = 0;
  RawUpstream upstream(context, "127.0.6.1", [&](const std::string& request) {
    const std::string answer =
        soak::MakeAnswer(FieldOf(request, "X-Request-Id"));
    const std::string head = HeadFor(request, "text/plain");
    if (request.substr(0, 4) == "GET ") {
      return RawUpstream::Answer{head + answer, false};
    }
    ++resets;
    return RawUpstream::Answer{head + answer.substr(0, answer.size() / 2),
                               true};
  });
  scenario.KeepAnnouncing("raw",
                          Announcement("app", upstream.address(), "east", ""));
  for (std::size_t index = 0; index < options.apps; ++index) {
    scenario.upstream(index).SayLeaving();
  }
  // A host knows it from an answer; then only the upstream without lengths is
  // left.
  const core::Instant leaving = net::SteadyNow();
  const auto all_know = [&] {
    std::set<std::pair<std::size_t, char>> told;
    for (const Scenario::Arrival& arrival : scenario.arrivals()) {
      if (arrival.at > leaving) told.emplace(arrival.upstream, arrival.id[0]);
    }
    return told.size() == options.apps * soak::kEntryHosts;
  };
  for (std::size_t entry = 0; entry < soak::kEntryHosts; ++entry) {
    scenario.Repeat(std::chrono::milliseconds(25),
                    [&, entry] { scenario.SendPlain("read", entry); });
  }
  REQUIRE(scenario.RunUntil(all_know, std::chrono::seconds(30)));
  scenario.StopRepeating();
  scenario.RunFor(std::chrono::seconds(2));
  const unsigned read = scenario.served(soak::RequestKind::kRead);
  for (int count = 0; count < 20; ++count) {
    scenario.SendPlain("read", static_cast<std::size_t>(count % 3));
    scenario.RunFor(std::chrono::milliseconds(50));
  }
  scenario.RunFor(std::chrono::seconds(1));
  CHECK(scenario.served(soak::RequestKind::kRead) - read == 20);
  for (int count = 0; count < 10; ++count) {
    scenario.SendPlain("book", static_cast<std::size_t>(count % 3));
    scenario.RunFor(std::chrono::milliseconds(50));
  }
  scenario.RunFor(std::chrono::seconds(1));
  CHECK(resets > 0);
  CHECK(scenario.served(soak::RequestKind::kBook) == 0);
  CHECK(scenario.statuses().count(502) == 1);
  CHECK(scenario.violations().empty());
}

TEST_CASE("a stream without a length that ends inside an event is continued") {
  Scenario::Options options;
  options.models = 0;
  Scenario scenario(options);
  boost::asio::io_context& context = scenario.context();
  unsigned streams = 0;
  unsigned broken = 0;
  unsigned resumed = 0;
  const auto answer = [&](const std::string& request) {
    if (request.find(" /v1/report ") != std::string::npos) {
      return RawUpstream::Answer{Framed("{}"), false};
    }
    if (request.find(" /v1/order ") != std::string::npos) {
      return RawUpstream::Answer{Framed("{}"), false};
    }
    const std::string id = FieldOf(request, "X-Request-Id");
    const std::string last = FieldOf(request, "Last-Event-Id");
    const unsigned from =
        last.empty() ? 0 : static_cast<unsigned>(std::stoul(last));
    // The first run of each fifth stream breaks off in its middle.
    const bool breaks = from == 0 && ++streams % 5 == 0;
    const unsigned until =
        breaks ? soak::kStreamEvents / 2 : soak::kStreamEvents;
    std::string bytes = HeadFor(request, "text/event-stream");
    for (unsigned event = from + 1; event <= until; ++event) {
      bytes += soak::MakeEvent(id, event);
    }
    if (from > 0) ++resumed;
    if (breaks) {
      ++broken;
      bytes += "id: " + std::to_string(until + 1) + "\nda";
    }
    return RawUpstream::Answer{bytes, false};
  };
  RawUpstream first(context, "127.0.6.2", answer);
  RawUpstream second(context, "127.0.6.3", answer);
  RawUpstream last(context, "127.0.6.4", answer);
  const auto layers = [](int from, int to) {
    return R"(,"stage":"both","kind":"card","models":[{"name":"m",)"
           R"("version":1,"adapters":[]}],"layers":{"from":)" +
           std::to_string(from) + R"(,"to":)" + std::to_string(to) +
           R"(,"version":1})";
  };
  scenario.KeepAnnouncing(
      "raw-1", Announcement("model", first.address(), "east", layers(0, 4)));
  scenario.KeepAnnouncing(
      "raw-2", Announcement("model", second.address(), "east", layers(0, 4)));
  scenario.KeepAnnouncing(
      "raw-3", Announcement("model", last.address(), "east", layers(4, 8)));
  scenario.AwaitServing();
  // A stream that breaks off waits for a retry for up to a second.
  scenario.RunFor(std::chrono::seconds(1));
  CHECK(resumed >= 3);
  // Each is continued, or the caller sees that it has broken off: a host that
  // has just started may have no retry left.
  const auto& statuses = scenario.statuses();
  const unsigned cut = statuses.contains(0) ? statuses.at(0) : 0;
  CHECK(resumed + cut >= broken);
  CHECK(scenario.violations().empty());
}

}  // namespace foxquay::platform::scenarios
