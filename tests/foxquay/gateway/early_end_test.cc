// Answers whose upstream, or whose other host, ends before they are whole.
#include <catch2/catch.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "raw_fixture.h"

namespace foxquay::gateway {
namespace {

/// Where an answer ends early.
enum class Place {
  kUpstream,         ///< At an upstream of the caller's host.
  kPartnerUpstream,  ///< At an upstream of another host.
  kPartner,          ///< At another host.
};

/// A host whose requests reach a RawUpstream at a given place.
struct EarlyEndFixture : RawFixture {
  EarlyEndFixture(Place place, std::vector<RawUpstream::Answer> answers)
      : RawFixture(std::move(answers)) {
    if (place == Place::kUpstream) return;
    proxy.SetUpstreams({Unreachable("a")});
    Start(partner);
    REQUIRE_FALSE(partner.ListenForPartners("127.0.0.1:0"));
    partner.SetUpstreams(Announcements());
    proxies.push_back(&partner);
    if (place == Place::kPartner) {
      proxy.SetPartners(core::HostId("self"),
                        {{core::HostId("first"), upstream.address()},
                         {core::HostId("second"), upstream.address()}});
    } else {
      proxy.SetPartners(core::HostId("self"),
                        {{core::HostId("partner"), partner.partner_address()}});
    }
  }

  metrics::Registry partner_registry;
  Proxy partner{context,
                MakeProtocol(),
                {0.2, 200, std::chrono::seconds(10)},
                partner_registry,
                2,
                [](const std::vector<core::UpstreamId>&) {}};
};

enum class Framing { kLength, kChunks, kConnection };

/// Returns an answer with the given framing; the line that states it is the
/// last one of the head or not.
std::string MakeAnswer(Framing framing, const std::string& type,
                       const std::string& body, bool last) {
  std::string line;
  std::string framed = body;
  if (framing == Framing::kLength) {
    line = "Content-Length: " + std::to_string(body.size()) + "\r\n";
  } else if (framing == Framing::kChunks) {
    line = "Transfer-Encoding: chunked\r\n";
    framed = net::SerializeChunk(body.substr(0, body.size() / 2)) +
             net::SerializeChunk(body.substr(body.size() / 2)) + "0\r\n\r\n";
  }
  const std::string other =
      "Name: r1\r\nStamp: s\r\nContent-Type: " + type + "\r\n";
  return "HTTP/1.1 200 OK\r\n" + (last ? other + line : line + other) + "\r\n" +
         framed;
}

/// Checks what a caller gets if its first answer ends after `cut` bytes, and
/// all further ones are whole.
void CheckCut(Place place, const std::string& target, Framing framing,
              const std::string& answer, std::size_t cut, bool reset,
              const std::string& body) {
  const std::string bytes = answer.substr(0, cut);
  CAPTURE(static_cast<int>(place), target, bytes, reset);
  EarlyEndFixture fixture(place, {{bytes, reset}, {answer}});
  const CallResult& result = fixture.AwaitResponse(fixture.Send(target));
  const std::size_t head = answer.find("\r\n\r\n") + 4;
  const bool whole = cut == answer.size() && !reset;
  // A part of such a body is not told from the whole, unless it ends inside an
  // event.
  const bool ambiguous = framing == Framing::kConnection && cut > head &&
                         !reset &&
                         (target != "/stream/1" || bytes.ends_with("\n\n"));
  if (result.ended && result.status / 100 == 2) {
    CHECK_FALSE(result.body.empty());
    if (ambiguous) {
      CHECK(body.starts_with(result.body));
    } else {
      CHECK(result.body == body);
    }
    CHECK(result.fields["Stamp"] == "s");
  } else if (result.ended) {
    CHECK(result.status >= 500);
    CHECK(result.fields.find("Stamp") == result.fields.end());
  }
  if (whole || ambiguous) {
    CHECK(result.status == 200);
    CHECK(fixture.received == 1);
  } else if (target == "/once/1") {
    // A reset may overtake bytes that make the answer whole.
    if (cut < answer.size()) CHECK(result.status == 502);
    CHECK(fixture.received == 1);
  } else {
    CHECK(result.status == 200);
    CHECK(result.body == body);
  }
}

}  // namespace

// Guards against an upstream that stops inside the head of its answer, and
// callers that get an empty or short answer that looks whole.
TEST_CASE("an answer that ends at any byte is not passed on as whole") {
  const Place place =
      GENERATE(Place::kUpstream, Place::kPartnerUpstream, Place::kPartner);
  const Framing framing =
      GENERATE(Framing::kLength, Framing::kChunks, Framing::kConnection);
  const std::string target = GENERATE("/once/1", "/safe/1", "/stream/1");
  const bool last = GENERATE(false, true);
  if (!last && (place != Place::kUpstream || framing != Framing::kLength)) {
    return;
  }
  const bool stream = target == "/stream/1";
  const std::string body = stream ? Event(1) + Event(2) : "hello, world";
  const std::string answer = MakeAnswer(
      framing, stream ? "text/event-stream" : "text/plain", body, last);
  // Another host takes about 20 ms for each request.
  const std::size_t step = place == Place::kUpstream ? 1 : 5;
  for (std::size_t cut = 0; cut < answer.size(); cut += step) {
    CheckCut(place, target, framing, answer, cut, false, body);
    if (cut % 8 == 0) {
      CheckCut(place, target, framing, answer, cut, true, body);
    }
  }
  CheckCut(place, target, framing, answer, answer.size(), false, body);
}

TEST_CASE("an interim answer that comes before the end is no answer") {
  const std::string target = GENERATE("/once/1", "/safe/1", "/stream/1");
  const std::string interim = "HTTP/1.1 100 Continue\r\nName: r1\r\n\r\n";
  const std::string whole =
      MakeAnswer(Framing::kLength, "text/plain", "hello", true);
  for (std::size_t cut = 0; cut < interim.size() + whole.size(); ++cut) {
    const std::string bytes = (interim + whole).substr(0, cut);
    CAPTURE(target, bytes);
    EarlyEndFixture fixture(Place::kUpstream, {{bytes}, {whole}});
    const CallResult& result = fixture.AwaitResponse(fixture.Send(target));
    CHECK(result.status == (target == "/once/1" ? 502 : 200));
    if (target != "/once/1") CHECK(result.body == "hello");
  }
}

// The head had been passed on, so that only the framing shows the end.
TEST_CASE("a large answer that ends early is broken off at the caller") {
  const std::string target = GENERATE("/once/1", "/safe/1");
  const Framing framing = GENERATE(Framing::kLength, Framing::kChunks);
  const Place place =
      GENERATE(Place::kUpstream, Place::kPartnerUpstream, Place::kPartner);
  const std::string body(std::size_t{1} << 20U, 'x');
  const std::string answer = MakeAnswer(framing, "text/plain", body, true);
  EarlyEndFixture fixture(place, {{answer.substr(0, answer.size() - 1)}});
  const CallResult& result = fixture.AwaitResponse(fixture.Send(target));
  CHECK(result.status == 200);
  CHECK_FALSE(result.ended);
  CHECK(result.failure == net::Failure::kCut);
}

// The end of a process that has sent only the head of such an answer looks like
// an empty one.
TEST_CASE("a success without a length and without a byte is not complete") {
  const std::string framing =
      GENERATE("", "Connection: close\r\n", "Transfer-Encoding: identity\r\n");
  const std::string type = GENERATE("text/plain", "text/event-stream");
  const std::string head =
      "HTTP/1.1 200 OK\r\nName: r1\r\nContent-Type: " + type + "\r\n" +
      framing + "\r\n";
  CAPTURE(head);
  EarlyEndFixture once(Place::kUpstream, {{head}});
  CHECK(once.AwaitResponse(once.Send("/once/1")).status == 502);
  CHECK(once.received == 1);
  EarlyEndFixture safe(Place::kUpstream, {{head}, {head + Event(1)}});
  CHECK(safe.AwaitResponse(safe.Send("/safe/1")).body == Event(1));
}

// The status says it all, and no length is due.
TEST_CASE("an empty answer without a length may be a failure or no content") {
  const unsigned status = GENERATE(204U, 304U, 404U);
  EarlyEndFixture fixture(Place::kUpstream,
                          {{"HTTP/1.1 " + std::to_string(status) +
                            " X\r\nName: r1\r\nStamp: s\r\n\r\n"}});
  CHECK(fixture.AwaitResponse(fixture.Send("/once/1")).status == status);
}

}  // namespace foxquay::gateway
