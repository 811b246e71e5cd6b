// Ends of answers that have neither a length nor chunks.
#include <catch2/catch.hpp>
#include <cstddef>
#include <string>
#include <vector>

#include "proxy_fixture.h"
#include "raw_upstream.h"

namespace foxquay::gateway {
namespace {

const std::string kHead =
    "HTTP/1.1 200 OK\r\nName: r1\r\nContent-Type: text/event-stream\r\n";
const std::string kToEnd = kHead + "\r\n";
const std::string kEmpty =
    kHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n";

/// A proxy and two upstreams; requests are answered in order, whichever of the
/// two gets them.
struct AnswerEndFixture : ProxyFixture {
  explicit AnswerEndFixture(std::vector<RawUpstream::Answer> in_order)
      : answers(std::move(in_order)) {
    std::vector<schema::Announcement> announcements{Announce("c", a),
                                                    Announce("d", a)};
    announcements[0].address = c.address();
    announcements[1].address = d.address();
    proxy.SetUpstreams(announcements);
  }

  RawUpstream::Answer Handle(const std::string& request) {
    if (request.starts_with("GET /report ")) {
      ++probes;
      return {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"};
    }
    requests.push_back(request);
    return answers.at(requests.size() - 1);
  }

  std::vector<RawUpstream::Answer> answers;
  std::vector<std::string> requests;
  int probes = 0;
  RawUpstream c{context, "127.0.0.1",
                [this](const std::string& request) { return Handle(request); }};
  RawUpstream d{context, "127.0.0.1",
                [this](const std::string& request) { return Handle(request); }};
};

RawUpstream::Answer Crashed(const std::string& bytes) {
  RawUpstream::Answer answer{bytes};
  answer.crash = true;
  return answer;
}

}  // namespace

// review/8: a stream ended as complete when its upstream was killed between two
// events.
TEST_CASE("a stream whose upstream crashes between two events goes on") {
  AnswerEndFixture fixture(
      {Crashed(kToEnd + Event(1) + Event(2)), {kToEnd + Event(3)}});
  const CallResult& result = fixture.AwaitResponse(fixture.Send("/stream/1"));
  CHECK(result.ended);
  CHECK(result.body == Event(1) + Event(2) + Event(3));
  REQUIRE(fixture.requests.size() == 2);
  CHECK(fixture.requests[1].find("After: 2\r\n") != std::string::npos);
}

TEST_CASE("a stream that must not be resumed is broken off at its crash") {
  AnswerEndFixture fixture({Crashed(kToEnd + Event(1))});
  const CallResult& result = fixture.AwaitResponse(fixture.Send("/live/1"));
  CHECK(result.failure == net::Failure::kCut);
  CHECK(result.body == Event(1));
  CHECK(fixture.requests.size() == 1);
}

// Nothing was missing: the upstream crashed after the last event.
TEST_CASE("a stream that has nothing more after a crash is complete") {
  const std::string last = GENERATE(kEmpty, kToEnd);
  AnswerEndFixture fixture({Crashed(kToEnd + Event(1)), {last}});
  const CallResult& result = fixture.AwaitResponse(fixture.Send("/stream/1"));
  CHECK(result.ended);
  CHECK(result.body == Event(1));
  CHECK(fixture.requests.size() == 2);
}

// The same cause: a part of a plain answer was taken for the whole.
TEST_CASE("a plain answer whose upstream crashes at its end is lost") {
  const std::string head = "HTTP/1.1 200 OK\r\nName: r1\r\n\r\n";
  const bool crashes = GENERATE(true, false);
  SECTION("and refused without a promise") {
    // Not sent again either: it may have crashed its upstream.
    const std::string target = GENERATE("/once/1", "/safe/1");
    RawUpstream::Answer first{head + "who"};
    first.crash = crashes;
    AnswerEndFixture fixture({first});
    const CallResult& result = fixture.AwaitResponse(fixture.Send(target));
    CHECK(result.status == (crashes ? 502U : 200U));
    CHECK(fixture.requests.size() == 1);
  }
  SECTION("or broken off") {
    RawUpstream::Answer first{head + std::string(std::size_t{1} << 20U, 'x')};
    first.crash = crashes;
    AnswerEndFixture fixture({first});
    const CallResult& result = fixture.AwaitResponse(fixture.Send("/safe/1"));
    CHECK(result.ended == !crashes);
  }
}

TEST_CASE("a stream whose upstream runs on is complete and asked for once") {
  AnswerEndFixture fixture({{kToEnd + Event(1)}});
  const std::string target = GENERATE("/stream/1", "/live/1");
  const CallResult& result = fixture.AwaitResponse(fixture.Send(target));
  CHECK(result.ended);
  CHECK(result.body == Event(1));
  CHECK(fixture.probes == 1);
  CHECK(fixture.requests.size() == 1);
}

// An inquiry would be a request in the pause that the upstream has asked for.
TEST_CASE("an upstream that pauses is not asked about the end of an answer") {
  const std::string plain = "HTTP/1.1 200 OK\r\nName: r1\r\n";
  const std::string pause = "Pause: 1\r\n\r\n";
  const bool stream = GENERATE(true, false);
  AnswerEndFixture fixture({{(stream ? kHead : plain) + pause + Event(1)}});
  const CallResult& result =
      fixture.AwaitResponse(fixture.Send(stream ? "/stream/1" : "/safe/1"));
  CHECK(result.ended);
  CHECK(result.body == Event(1));
  CHECK(fixture.probes == 0);
}

TEST_CASE("the end of a stream in chunks is not asked for") {
  AnswerEndFixture fixture({{kHead + "Transfer-Encoding: chunked\r\n\r\nf\r\n" +
                             Event(1) + "\r\n0\r\n\r\n"}});
  CHECK(fixture.AwaitResponse(fixture.Send("/stream/1")).ended);
  CHECK(fixture.probes == 0);
}

TEST_CASE("a caller may leave while the end of its stream is checked") {
  AnswerEndFixture fixture({Crashed(kToEnd + Event(1)), {kToEnd + Event(2)}});
  const net::CallId call = fixture.Send("/stream/1");
  fixture.RunUntil([&] { return fixture.results[call].body == Event(1); });
  fixture.caller.Cancel(call);
  fixture.RunUntil([&] { return fixture.proxy.relay().size() == 0; });
  fixture.RunFor(std::chrono::milliseconds(300));
  CHECK(fixture.proxy.relay().size() == 0);
}

}  // namespace foxquay::gateway
